package htlog

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// pendingLines wait for a slow reader.
	pendingLines = 1024
	// maxValue bounds a text in a line, in bytes: callers choose the length of paths.
	maxValue = 256
	// dropPeriod is the time from a dropped line to the account of all that were dropped.
	dropPeriod = time.Second
	// closeWait is how long the end of a process waits for a reader that has stopped.
	closeWait = 500 * time.Millisecond
	// timeFormat shows milliseconds, since a call lives for some hundred of them.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Log is a logrus hook that writes lines in the background.
type Log struct {
	out    io.Writer
	host   string
	format logrus.Formatter
	lines  chan []byte
	due    chan struct{} // an account of dropped lines is due
	done   chan struct{}

	mu      sync.Mutex // guards the fields below
	bounds  *bounds
	written int64
	dropped map[string]int64 // by kind, not yet told
	total   map[string]int64 // by kind, since the start
	closed  bool
}

// New returns a Log to out. Close ends it.
func New(out io.Writer) *Log {
	l := &Log{
		out:     out,
		format:  &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat},
		lines:   make(chan []byte, pendingLines),
		due:     make(chan struct{}, 1),
		done:    make(chan struct{}),
		bounds:  newBounds(),
		dropped: map[string]int64{},
		total:   map[string]int64{},
	}
	go l.run()
	return l
}

// Install makes the log the only output of a logger.
func (l *Log) Install(logger *logrus.Logger) {
	logger.SetOutput(io.Discard)
	logger.SetFormatter(noOutput{})
	logger.AddHook(l)
}

// noOutput keeps logrus from formatting each line a second time.
type noOutput struct{}

// Format implements logrus.Formatter.
func (noOutput) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// SetHost puts the name of the host into each line from now on.
func (l *Log) SetHost(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.host = name
}

// Levels implements logrus.Hook.
func (*Log) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. It never waits for the reader of the log.
func (l *Log) Fire(entry *logrus.Entry) error {
	kind := kindOf(entry)
	host, ok := l.admit(entry.Time, kind)
	if !ok {
		return nil
	}
	text, err := l.format.Format(bounded(entry, host))
	if err != nil {
		return fmt.Errorf("format a line of kind %s: %w", kind, err)
	}
	l.queue(entry.Time, kind, text)
	return nil
}

// bounded returns a copy of the entry with short texts and the name of the host.
func bounded(entry *logrus.Entry, host string) *logrus.Entry {
	fields := make(logrus.Fields, len(entry.Data)+1)
	for name, value := range entry.Data {
		switch v := value.(type) {
		case string:
			fields[name] = cut(v)
		case error:
			fields[name] = cut(v.Error())
		default:
			fields[name] = value
		}
	}
	if host != "" {
		fields["host"] = host
	}
	return &logrus.Entry{Logger: entry.Logger, Data: fields, Time: entry.Time, Level: entry.Level, Message: cut(entry.Message)}
}

func cut(text string) string {
	if len(text) <= maxValue {
		return text
	}
	return strings.ToValidUTF8(text[:maxValue], "") + "..."
}

// admit takes the token of a line of a kind. It returns the name of the host.
func (l *Log) admit(now time.Time, kind string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.bounds.mayFormat(now, kind, routineKinds[kind]) {
		l.drop(kind)
		return "", false
	}
	return l.host, true
}

// queue hands a line to the writer or drops it.
func (l *Log) queue(now time.Time, kind string, text []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.bounds.mayWrite(now, len(text)) {
		l.drop(kind)
		return
	}
	select {
	case l.lines <- text:
		l.written++
	default:
		l.drop(kind)
	}
}

// drop counts a line that is not written. The caller holds l.mu.
func (l *Log) drop(kind string) {
	if len(l.dropped) == 0 {
		time.AfterFunc(dropPeriod, l.wake)
	}
	l.dropped[kind]++
	l.total[kind]++
}

func (l *Log) wake() {
	select {
	case l.due <- struct{}{}:
	default:
	}
}

// Counts returns the lines written, and those dropped by kind, since the start.
func (l *Log) Counts() (written int64, dropped map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written, maps.Clone(l.total)
}

func (l *Log) run() {
	defer close(l.done)
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				l.account()
				return
			}
			// There is nowhere to report that the log itself can't be written.
			_, _ = l.out.Write(line)
		case <-l.due:
			l.account()
		}
	}
}

// account writes how many lines of each kind were dropped since the last account.
func (l *Log) account() {
	l.mu.Lock()
	dropped, host := l.dropped, l.host
	l.dropped = map[string]int64{}
	l.mu.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(dropped)) {
		_, _ = fmt.Fprintf(l.out, "time=%q level=warning event=lines-dropped host=%s kind=%s lines=%d\n",
			time.Now().Format(timeFormat), host, kind, dropped[kind])
	}
}

// Close writes what is pending, unless the reader has stopped.
func (l *Log) Close() {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if !closed {
		close(l.lines)
	}
	select {
	case <-l.done:
	case <-time.After(closeWait):
	}
}
