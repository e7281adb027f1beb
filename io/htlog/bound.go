package htlog

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and bytesPerSecond bound the log of a host. With the mean line of 300
	// bytes, both are reached together. lineBurst and byteBurst let two seconds' worth
	// through at once, as when a failure domain is lost.
	linesPerSecond = 400
	lineBurst      = 800
	bytesPerSecond = 128 << 10
	byteBurst      = 256 << 10
	// kindLines bounds each kind of line to a quarter of the sum, so that no kind drowns
	// the others.
	kindLines = linesPerSecond / 4
	kindBurst = lineBurst / 4
	// routineReserve is the share of the bursts that routine lines leave for others.
	routineReserve = 0.5
)

// bounds decides which lines are written.
type bounds struct {
	lines *rate.Limiter
	bytes *rate.Limiter
	kinds map[string]*rate.Limiter
}

func newBounds() *bounds {
	return &bounds{
		lines: rate.NewLimiter(linesPerSecond, lineBurst),
		bytes: rate.NewLimiter(bytesPerSecond, byteBurst),
		kinds: map[string]*rate.Limiter{},
	}
}

// mayFormat reports whether a line of a kind is worth the work of formatting it.
func (b *bounds) mayFormat(now time.Time, kind string, routine bool) bool {
	if routine && (b.lines.TokensAt(now) < routineReserve*lineBurst || b.bytes.TokensAt(now) < routineReserve*byteBurst) {
		return false
	}
	limit := b.kinds[kind]
	if limit == nil {
		limit = rate.NewLimiter(kindLines, kindBurst)
		b.kinds[kind] = limit
	}
	return limit.AllowN(now, 1)
}

// mayWrite takes the tokens of a formatted line.
func (b *bounds) mayWrite(now time.Time, size int) bool {
	if b.lines.TokensAt(now) < 1 || !b.bytes.AllowN(now, size) {
		return false
	}
	return b.lines.AllowN(now, 1)
}
