package htroute

// Budget bounds the extra load from retries and hedges to a share of the first attempts.
type Budget struct {
	share    float64
	burst    float64
	earned   int64
	spent    int64
	overflow float64 // tokens earned beyond burst
}

// NewBudget returns an empty Budget that earns share tokens with each first attempt and
// keeps at most burst tokens.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst}
}

// tokens returns the available tokens. They are computed from counts rather than
// accumulated, so that rounding errors do not add up.
func (b *Budget) tokens() float64 {
	return float64(b.earned)*b.share - float64(b.spent) - b.overflow
}

// Earn adds the tokens of a first attempt.
func (b *Budget) Earn() {
	b.earned++
	if excess := b.tokens() - b.burst; excess > 0 {
		b.overflow += excess
	}
}

// Spend takes a token for a retry or a hedge. It returns false if there is none.
func (b *Budget) Spend() bool {
	if b.tokens() < 1 || float64(b.spent+1) > float64(b.earned)*b.share {
		return false
	}
	b.spent++
	return true
}
