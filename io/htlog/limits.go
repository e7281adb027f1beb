package htlog

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and bytesPerSecond bound the log of a host. With a mean line of 300
	// bytes, both are reached at the same rate. lineBurst and byteBurst admit two seconds'
	// worth at once, as when a failure domain is lost.
	linesPerSecond = 400
	lineBurst      = 800
	bytesPerSecond = 128 << 10
	byteBurst      = 256 << 10
	// kindLines bounds each kind of line to a quarter of the total, so that no kind crowds
	// out the others.
	kindLines = linesPerSecond / 4
	kindBurst = lineBurst / 4
	// routineReserve is the share of the bursts that is reserved for lines that are not
	// routine.
	routineReserve = 0.5
)

// limits holds the rate limiters that decide which lines are written.
type limits struct {
	lines *rate.Limiter
	bytes *rate.Limiter
	kinds map[string]*rate.Limiter
}

func newLimits() *limits {
	return &limits{
		lines: rate.NewLimiter(linesPerSecond, lineBurst),
		bytes: rate.NewLimiter(bytesPerSecond, byteBurst),
		kinds: map[string]*rate.Limiter{},
	}
}

// mayFormat reports whether to format a line of a kind, and takes a token of the kind if so.
// Routine lines are refused once less than routineReserve of a burst is left.
func (l *limits) mayFormat(now time.Time, kind string, routine bool) bool {
	if routine && (l.lines.TokensAt(now) < routineReserve*lineBurst || l.bytes.TokensAt(now) < routineReserve*byteBurst) {
		return false
	}
	limiter := l.kinds[kind]
	if limiter == nil {
		limiter = rate.NewLimiter(kindLines, kindBurst)
		l.kinds[kind] = limiter
	}
	return limiter.AllowN(now, 1)
}

// mayWrite takes the tokens of a formatted line and reports whether the limits allow it.
func (l *limits) mayWrite(now time.Time, size int) bool {
	if l.lines.TokensAt(now) < 1 || !l.bytes.AllowN(now, size) {
		return false
	}
	return l.lines.AllowN(now, 1)
}
