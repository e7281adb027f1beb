package htmemory

// UsedShare returns the part of the budget that is held now, from 0 to 1, or 0 without a bound.
func (b *Budget) UsedShare() float64 {
	if b == nil {
		return 0
	}
	return float64(b.Used()) / float64(b.limit)
}
