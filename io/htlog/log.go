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
	// queuedLines bounds the lines that wait for a slow reader of the log.
	queuedLines = 1024
	// maxValueBytes bounds each text in a line, because callers choose the length of paths.
	maxValueBytes = 256
	// dropReportDelay is the time from the first dropped line to the report of the counts.
	dropReportDelay = time.Second
	// closeTimeout bounds how long Close waits for a reader of the log that has stopped.
	closeTimeout = 500 * time.Millisecond
	// timeFormat includes milliseconds, because a call takes some hundred of them.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Log is a logrus hook that writes lines from a background goroutine.
type Log struct {
	out           io.Writer
	host          string
	format        logrus.Formatter
	lines         chan []byte
	dropCountsDue chan struct{} // signals that the counts of dropped lines are to be written
	done          chan struct{}

	mu           sync.Mutex // guards the fields below
	limits       *limits
	written      int64
	unreported   map[string]int64 // by kind, not yet reported in the log
	droppedTotal map[string]int64 // by kind, since the start
	closed       bool
}

// New returns a Log that writes to out until Close.
func New(out io.Writer) *Log {
	l := &Log{
		out:           out,
		format:        &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat},
		lines:         make(chan []byte, queuedLines),
		dropCountsDue: make(chan struct{}, 1),
		done:          make(chan struct{}),
		limits:        newLimits(),
		unreported:    map[string]int64{},
		droppedTotal:  map[string]int64{},
	}
	go l.run()
	return l
}

// Install makes the log the only output of a logger.
func (l *Log) Install(logger *logrus.Logger) {
	logger.SetOutput(io.Discard)
	logger.SetFormatter(noFormatter{})
	logger.AddHook(l)
}

// noFormatter prevents logrus from formatting each line a second time.
type noFormatter struct{}

// Format implements logrus.Formatter.
func (noFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// SetHost sets the name of the host that is added to each subsequent line.
func (l *Log) SetHost(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.host = name
}

// Levels implements logrus.Hook.
func (*Log) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. It does not wait for the reader of the log.
func (l *Log) Fire(entry *logrus.Entry) error {
	kind := kindOf(entry)
	host, ok := l.allowLine(entry.Time, kind)
	if !ok {
		return nil
	}
	text, err := l.format.Format(truncatedEntry(entry, host))
	if err != nil {
		return fmt.Errorf("format a line of kind %s: %w", kind, err)
	}
	l.enqueue(entry.Time, kind, text)
	return nil
}

// truncatedEntry returns a copy of the entry with texts of at most maxValueBytes and the
// name of the host.
func truncatedEntry(entry *logrus.Entry, host string) *logrus.Entry {
	fields := make(logrus.Fields, len(entry.Data)+1)
	for name, value := range entry.Data {
		switch v := value.(type) {
		case string:
			fields[name] = truncate(v)
		case error:
			fields[name] = truncate(v.Error())
		default:
			fields[name] = value
		}
	}
	if host != "" {
		fields["host"] = host
	}
	return &logrus.Entry{Logger: entry.Logger, Data: fields, Time: entry.Time, Level: entry.Level, Message: truncate(entry.Message)}
}

func truncate(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}

// allowLine takes a token for a line of a kind and returns the name of the host, or false
// if the line is dropped.
func (l *Log) allowLine(now time.Time, kind string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.limits.mayFormat(now, kind, routineKinds[kind]) {
		l.drop(kind)
		return "", false
	}
	return l.host, true
}

// enqueue passes a line to the writing goroutine, or drops it if the limits or a full queue
// require it.
func (l *Log) enqueue(now time.Time, kind string, text []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.limits.mayWrite(now, len(text)) {
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
	if len(l.unreported) == 0 {
		time.AfterFunc(dropReportDelay, l.signalDropCounts)
	}
	l.unreported[kind]++
	l.droppedTotal[kind]++
}

func (l *Log) signalDropCounts() {
	select {
	case l.dropCountsDue <- struct{}{}:
	default:
	}
}

// Counts returns the lines written, and those dropped by kind, since the start.
func (l *Log) Counts() (written int64, dropped map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written, maps.Clone(l.droppedTotal)
}

func (l *Log) run() {
	defer close(l.done)
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				l.writeDropCounts()
				return
			}
			// A failed write is ignored, because there is no other log to report it to.
			_, _ = l.out.Write(line)
		case <-l.dropCountsDue:
			l.writeDropCounts()
		}
	}
}

// writeDropCounts writes how many lines of each kind were dropped since the last report.
func (l *Log) writeDropCounts() {
	l.mu.Lock()
	dropped, host := l.unreported, l.host
	l.unreported = map[string]int64{}
	l.mu.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(dropped)) {
		_, _ = fmt.Fprintf(l.out, "time=%q level=warning event=lines-dropped host=%s kind=%s lines=%d\n",
			time.Now().Format(timeFormat), host, kind, dropped[kind])
	}
}

// Close writes the queued lines. It gives up after closeTimeout if the reader of the log has
// stopped.
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
	case <-time.After(closeTimeout):
	}
}
