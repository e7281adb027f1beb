package htmemory

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
)

// Errors of ReadAll. Other errors are those of the reader.
var (
	ErrTooLarge = errors.New("body exceeds the limit")
	ErrNoMemory = errors.New("no memory is left for bodies")
)

// Sizes in bytes in which a body without a length is read. They double from the smallest to the largest.
const (
	minSegmentBytes = 1 << 10
	maxSegmentBytes = 64 << 10
	// shortBytes is the largest body that is joined.
	shortBytes = 64 << 10
)

// Lease is the part of a Budget that one call holds. All of it is returned when the last
// holder has released it: a send may continue after the caller has left. A nil Lease has no
// bound. It is safe for concurrent use.
type Lease struct {
	budget  *Budget
	mu      sync.Mutex
	holders int
	bytes   int64
	awaited int64 // of the bytes, for what Await expects
}

// NewLease returns a Lease of no bytes with one holder. A nil Budget returns a nil Lease.
func (b *Budget) NewLease() *Lease {
	if b == nil {
		return nil
	}
	return &Lease{budget: b, holders: 1}
}

// Retain adds a holder.
func (l *Lease) Retain() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders++
}

// Release removes a holder, and returns the bytes to the budget if it is the last one.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holders--; l.holders == 0 {
		l.budget.release(l.bytes)
		l.bytes = 0
	}
}

// reserve adds n bytes to the lease, less those that it has for what is awaited, and reports whether
// the budget had them.
func (l *Lease) reserve(n int64, patient bool) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	awaited := min(n, l.awaited)
	l.awaited -= awaited
	l.mu.Unlock()
	reserved := n == awaited || l.budget.reserve(n-awaited, patient)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !reserved {
		l.awaited += awaited
		return false
	}
	l.bytes += n - awaited
	return true
}

// Await reserves n bytes for what will be read, less those that are reserved for that already, and
// reports whether the budget had them. It waits a short time for bytes that other calls give back.
func (l *Lease) Await(n int64) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	more := n - l.awaited
	l.mu.Unlock()
	if more <= 0 {
		return true
	}
	if !l.budget.reserve(more, true) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += more
	l.awaited += more
	return true
}

// Reserve adds n bytes to the lease and reports whether the budget had them. It waits for bytes
// that can be reclaimed.
func (l *Lease) Reserve(n int64) bool { return l.reserve(n, false) }

// TryReserve adds n bytes to the lease and reports whether the budget had them. It does not wait.
func (l *Lease) TryReserve(n int64) bool {
	if l == nil {
		return true
	}
	if short, _ := l.budget.tryReserve(n); short > 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += n
	return true
}

// Held returns the bytes that the lease holds.
func (l *Lease) Held() int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// ReadAll reads a body of at most limit bytes. A length of at least 0 is the declared one,
// for which all memory is reserved first. The error wraps ErrTooLarge or ErrNoMemory if the
// body is not read for one of these reasons; a part of a body is never returned.
func (l *Lease) ReadAll(r io.Reader, length, limit int64) (Body, error) {
	return l.readAll(r, length, limit, false)
}

// ReadAnswer is ReadAll for the answer to a call that has run, which waits a short time for memory that other
// calls give back.
func (l *Lease) ReadAnswer(r io.Reader, length, limit int64) (Body, error) {
	return l.readAll(r, length, limit, true)
}

func (l *Lease) readAll(r io.Reader, length, limit int64, patient bool) (Body, error) {
	switch {
	case length > limit:
		return nil, fmt.Errorf("%w: %d bytes are declared, the most is %d", ErrTooLarge, length, limit)
	case length >= 0:
		return l.readDeclared(r, length, patient)
	}
	return l.readToEnd(r, limit, patient)
}

// ReadStart reads a body to its end if it has fewer than most bytes, and otherwise its first most
// bytes. It reports whether it has read all. The error wraps ErrNoMemory if there is no memory.
func (l *Lease) ReadStart(r io.Reader, length, most int64) (start Body, whole bool, err error) {
	if length >= 0 && length < most {
		start, err = l.readDeclared(r, length, false)
		return start, true, err
	}
	start, err = l.readToEnd(io.LimitReader(r, most), most, false)
	return start, int64(start.Len()) < most, err
}

// readDeclared reads a body of a declared length. The memory is allocated as the bytes
// arrive: a peer that declares much and sends little holds little.
func (l *Lease) readDeclared(r io.Reader, length int64, patient bool) (Body, error) {
	if !l.reserve(length, patient) {
		return nil, fmt.Errorf("%w: %d bytes", ErrNoMemory, length)
	}
	var body Body
	for left := length; left > 0; {
		segment := make([]byte, min(left, maxSegmentBytes))
		if _, err := io.ReadFull(r, segment); err != nil {
			return nil, unexpectedEnd(err)
		}
		body, left = append(body, segment), left-int64(len(segment))
	}
	return expectEnd(r, body)
}

// expectEnd returns a body whose reader is at its end. Reading up to that makes its
// connection free for another request.
func expectEnd(r io.Reader, body Body) (Body, error) {
	var more [1]byte
	switch n, err := io.ReadFull(r, more[:]); {
	case n > 0:
		return nil, fmt.Errorf("%w: it continues after its declared length", ErrTooLarge)
	case !errors.Is(err, io.EOF):
		return nil, err
	}
	return body, nil
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readToEnd reads a body of unknown length in segments, each reserved before it is allocated.
func (l *Lease) readToEnd(r io.Reader, limit int64, patient bool) (Body, error) {
	var segments Body
	var segment []byte
	total := int64(0)
	for {
		if len(segment) == cap(segment) {
			if len(segment) > 0 {
				segments = append(segments, segment)
			}
			size := min(max(2*cap(segment), minSegmentBytes), maxSegmentBytes)
			if !l.reserve(int64(size), patient) {
				return nil, fmt.Errorf("%w: after %d bytes of a body without a length", ErrNoMemory, total)
			}
			segment = make([]byte, 0, size)
		}
		n, err := r.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		if total += int64(n); total > limit {
			return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
		}
		switch {
		case errors.Is(err, io.EOF):
			return joinShort(append(segments, segment), total), nil
		case err != nil:
			return nil, err
		}
	}
}

// joinShort joins the segments of a short body, so that it is written at once. Segments grow
// to as much as what is in front of them, so that the reservation covers the copy.
func joinShort(body Body, total int64) Body {
	if len(body) < 2 || total > shortBytes {
		return body
	}
	return Body{slices.Concat(body...)}
}
