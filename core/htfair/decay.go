package htfair

import (
	"math"
	"time"
)

// negligibleAfter is the number of time constants after which nothing counts of a term.
const negligibleAfter = 20

// decayingSum is a sum whose terms lose weight with a time constant.
type decayingSum struct {
	value float64
	at    time.Time
}

// add adds a term at a time that is not before that of the last one.
func (d *decayingSum) add(now time.Time, constant time.Duration, term float64) {
	d.value = d.sum(now, constant) + term
	d.at = now
}

// sum returns the sum at a time.
func (d *decayingSum) sum(now time.Time, constant time.Duration) float64 {
	if d.at.IsZero() || !now.After(d.at) {
		return d.value
	}
	if d.value == 0 || now.Sub(d.at) > negligibleAfter*constant {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(constant))
}

// weightOf returns the sum of a term of 1 a second from start to now. It turns a decayingSum into a
// rate, also shortly after the start.
func weightOf(start, now time.Time, constant time.Duration) float64 {
	return constant.Seconds() * (1 - math.Exp(-float64(max(now.Sub(start), time.Second))/float64(constant)))
}
