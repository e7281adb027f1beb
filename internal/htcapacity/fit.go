package htcapacity

import "slices"

// Fit is a straight line: value = Intercept + Slope*size.
type Fit struct {
	Intercept float64
	Slope     float64
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// fitLine returns the least-squares line through the points.
func fitLine(sizes, values []float64) Fit {
	n := float64(len(sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range sizes {
		sx += x
		sy += values[i]
		sxx += x * x
		sxy += x * values[i]
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return Fit{Intercept: sy / n}
	}
	slope := (n*sxy - sx*sy) / denominator
	return Fit{Intercept: (sy - slope*sx) / n, Slope: slope}
}

// FitColumn returns the least-squares line of the values of a unit against the sizes.
func (f *File) FitColumn(name, unit string) (Fit, error) {
	s, err := f.Find(name)
	if err != nil {
		return Fit{}, err
	}
	sizes, values, err := s.Column(unit)
	if err != nil {
		return Fit{}, err
	}
	return fitLine(sizes, values), nil
}

// LastValue returns the value of a unit at the last size, which is the largest, or 0 if
// the series has no points.
func (f *File) LastValue(name, unit string) (float64, error) {
	s, err := f.Find(name)
	if err != nil {
		return 0, err
	}
	_, values, err := s.Column(unit)
	if err != nil || len(values) == 0 {
		return 0, err
	}
	return values[len(values)-1], nil
}

// median returns the middle value, or the mean of the two middle ones.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}
