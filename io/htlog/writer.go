package htlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the volume; lineBurst lets a burst through. A host writes
	// about one line a call.
	linesPerSecond = 400
	lineBurst      = 800
	// pendingLines wait for a slow reader.
	pendingLines = 1024
)

// Writer passes lines on in the background.
type Writer struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	done    chan struct{}
	mu      sync.Mutex
	dropped int64
	closed  bool
}

// New returns a Writer to out. Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:   out,
		limit: rate.NewLimiter(linesPerSecond, lineBurst),
		lines: make(chan []byte, pendingLines),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It keeps a copy of the line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.limit.Allow() {
		w.dropped++
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped++
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// There is nowhere to report that the log itself can't be written.
		_, _ = w.out.Write(line)
		if n := w.takeDropped(); n > 0 {
			_, _ = fmt.Fprintf(w.out, "time=%q level=warning event=lines-dropped lines=%d\n", time.Now().Format(time.RFC3339), n)
		}
	}
}

func (w *Writer) takeDropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes what is pending.
func (w *Writer) Close() {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.lines)
	}
	<-w.done
}
