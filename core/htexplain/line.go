package htexplain

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Field names in log lines.
const (
	fieldTime     = "time"
	fieldHost     = "host"
	fieldEvent    = "event"
	fieldRequest  = "request"
	fieldUpstream = "upstream"
)

// maxLineBytes bounds the length of a log line that can be read. Hosts truncate texts to
// 256 bytes.
const maxLineBytes = 64 << 10

// Source is a log that can be opened more than once.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Line is one parsed log line.
type Line struct {
	Time   time.Time
	Host   string
	Event  string
	Fields map[string]string
}

// parseLine parses key=value pairs. It ignores text that a log collector has put before the
// time field, and returns false if the line was not written by a host.
func parseLine(text []byte) (Line, bool) {
	at := bytes.Index(text, []byte(fieldTime+"="))
	if at < 0 {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[at:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		l.Fields[string(decoder.Key())] = string(decoder.Value())
	}
	if decoder.Err() != nil {
		return Line{}, false
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, l.Fields[fieldTime]); err != nil {
		return Line{}, false
	}
	l.Host, l.Event = l.Fields[fieldHost], l.Fields[fieldEvent]
	return l, true
}

// scan calls visit for each line of the sources that contains one of the substrings and can
// be parsed. It returns the number of all lines that were read.
func scan(sources []Source, substrings []string, visit func(Line)) (int, error) {
	var errs []error
	lines := 0
	for _, s := range sources {
		n, err := scanSource(s, substrings, visit)
		lines += n
		if err != nil {
			errs = append(errs, fmt.Errorf("read %s: %w", s.Name, err))
		}
	}
	return lines, errors.Join(errs...)
}

func scanSource(s Source, substrings []string, visit func(Line)) (int, error) {
	file, err := s.Open()
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	lines := 0
	for scanner.Scan() {
		lines++
		text := scanner.Bytes()
		if !slices.ContainsFunc(substrings, func(t string) bool { return bytes.Contains(text, []byte(t)) }) {
			continue
		}
		if l, ok := parseLine(text); ok {
			visit(l)
		}
	}
	return lines, scanner.Err()
}

// number returns a field as a number, or -1 if it is missing or not a number.
func (l *Line) number(field string) int64 {
	n, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// String returns the event followed by its fields, sorted by name. It omits the request
// field and the fields that every line has.
func (l *Line) String() string {
	parts := []string{l.Event}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		switch name {
		case fieldTime, fieldHost, fieldEvent, fieldRequest, "level", "msg":
			continue
		}
		value := l.Fields[name]
		if strings.ContainsAny(value, " \"=") {
			value = strconv.Quote(value)
		}
		parts = append(parts, name+"="+value)
	}
	return strings.Join(parts, " ")
}
