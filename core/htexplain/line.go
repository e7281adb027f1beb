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

// Names of fields of log lines.
const (
	fieldTime     = "time"
	fieldHost     = "host"
	fieldEvent    = "event"
	fieldRequest  = "request"
	fieldUpstream = "upstream"
)

// maxLine bounds a line of a log, in bytes. Hosts cut texts at 256 bytes.
const maxLine = 64 << 10

// Source is a log that can be read more than once.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Event  string
	Fields map[string]string
}

// parseLine reads key=value pairs. What a log collector puts before the time is dropped. It
// reports false for lines that are none of a host's.
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

// scan calls take for each line of the sources that contains one of the texts. It returns
// the number of lines that were read.
func scan(sources []Source, texts []string, take func(Line)) (int, error) {
	var failures []error
	lines := 0
	for _, s := range sources {
		n, err := scanOne(s, texts, take)
		lines += n
		if err != nil {
			failures = append(failures, fmt.Errorf("read %s: %w", s.Name, err))
		}
	}
	return lines, errors.Join(failures...)
}

func scanOne(s Source, texts []string, take func(Line)) (int, error) {
	file, err := s.Open()
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	lines := 0
	for scanner.Scan() {
		lines++
		text := scanner.Bytes()
		if !slices.ContainsFunc(texts, func(t string) bool { return bytes.Contains(text, []byte(t)) }) {
			continue
		}
		if l, ok := parseLine(text); ok {
			take(l)
		}
	}
	return lines, scanner.Err()
}

// number returns a field as a number; -1 if it is missing.
func (l *Line) number(field string) int64 {
	n, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// String returns the event with its inputs, by name.
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
