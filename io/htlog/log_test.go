package htlog

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
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

// count returns how many lines contain a text.
func (o *slowOutput) count(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.text.String(), text)
}

func newLogger(out io.Writer) (*logrus.Logger, *Log) {
	logger := logrus.New()
	l := New(out)
	l.Install(logger)
	return logger, l
}

// Guards against a process that blocks because nothing reads its log, and against lines
// that are dropped without a report.
func TestLogNeverBlocks(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	logger, l := newLogger(out)
	const lines = 5 * queuedLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			logger.WithField(FieldEvent, fmt.Sprintf("kind-%d", i%10)).Info("text")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocked")
	}
	close(out.release)
	l.Close()
	if n := out.count("msg=text"); n == 0 || n > lineBurst+linesPerSecond {
		t.Errorf("%d lines were written, the limit is %d", n, lineBurst+linesPerSecond)
	}
	written, dropped := l.Counts()
	sum := written
	for _, n := range dropped {
		sum += n
	}
	if sum != lines {
		t.Errorf("%d lines are counted as written or dropped, of %d", sum, lines)
	}
	if out.count("event=lines-dropped host= kind=kind-0 lines=") != 1 {
		t.Error("the log does not report how many lines of a kind were dropped")
	}
	logger.Info("after the end")
}

// Guards against rare lines that are dropped because frequent ones have used up the limits.
func TestKindsDoNotCrowdOutOthers(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	close(out.release)
	logger, l := newLogger(out)
	for range 4 * lineBurst {
		logger.WithFields(logrus.Fields{FieldEvent: "call", FieldOutcome: "done"}).Info("routine")
		logger.WithFields(logrus.Fields{FieldEvent: "send", FieldCause: "first"}).Info("routine")
		logger.WithFields(logrus.Fields{FieldEvent: "call", FieldOutcome: "not-run"}).Info("refused")
	}
	logger.WithField(FieldEvent, "store-lost").Info("rare")
	l.Close()
	if out.count("msg=rare") != 1 {
		t.Error("a rare line was dropped")
	}
	if n := out.count("msg=refused"); n < kindBurst {
		t.Errorf("%d refusals were written, want at least %d", n, kindBurst)
	}
	if n := out.count("msg=routine"); n > lineBurst*routineReserve+linesPerSecond {
		t.Errorf("%d routine lines were written", n)
	}
}

// Guards against lines whose size is chosen by a caller, and against lines without the name
// of their host.
func TestLinesAreShortAndNameTheHost(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	close(out.release)
	logger, l := newLogger(out)
	l.SetHost("host-1")
	logger.WithField("uri", strings.Repeat("é", 10_000)).WithError(fmt.Errorf("%s", strings.Repeat("x", 10_000))).Info("text")
	l.Close()
	if n := len(out.text.String()); n > 4*maxValueBytes {
		t.Errorf("the line has %d bytes", n)
	}
	if out.count("host=host-1") != 1 {
		t.Error("the line does not name the host")
	}
}

// Guards against a process that cannot exit because nothing reads its log.
func TestCloseDoesNotWaitForASlowReader(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	logger, l := newLogger(out)
	logger.Info("text")
	start := time.Now()
	l.Close()
	if took := time.Since(start); took > 2*closeTimeout {
		t.Errorf("Close took %v", took)
	}
	close(out.release)
}
