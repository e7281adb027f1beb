package htfinding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error at one location in the input.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error formats the finding as file:line: field: message. Unknown parts are omitted.
func (f Finding) Error() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a list of findings. An empty List means that the input is valid.
type List []Finding

// Addf appends a finding for a field whose line is not known yet.
func (l *List) Addf(field, format string, args ...any) {
	*l = append(*l, Finding{Field: field, Message: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all findings sorted by location, one per line.
func (l List) Error() string {
	sorted := l.Sorted()
	lines := make([]string, len(sorted))
	for i, f := range sorted {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns a copy sorted by file, line, field and message.
func (l List) Sorted() List {
	sorted := append(List(nil), l...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Field != b.Field {
			return a.Field < b.Field
		}
		return a.Message < b.Message
	})
	return sorted
}
