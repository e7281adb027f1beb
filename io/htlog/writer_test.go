package htlog

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// slowOutput blocks until it is released.
type slowOutput struct {
	mu      sync.Mutex
	text    strings.Builder
	release chan struct{}
}

// Write implements io.Writer.
func (o *slowOutput) Write(data []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

// Guards against a process that stands still because nobody reads its log, and against
// lines that are dropped without a word.
func TestWriteNeverBlocks(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	w := New(out)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 5 * pendingLines {
			if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
				t.Errorf("wrote %d, %v", n, err)
				return
			}
		}
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	close(out.release)
	w.Close()
	if lines := strings.Count(out.text.String(), "line\n"); lines > lineBurst+linesPerSecond {
		t.Errorf("%d lines were written, above the bound", lines)
	}
	if !strings.Contains(out.text.String(), "event=lines-dropped") {
		t.Error("the log does not say that lines were dropped")
	}
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Errorf("a write after the end failed: %v", err)
	}
}
