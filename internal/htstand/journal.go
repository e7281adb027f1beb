package htstand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// run is one request whose work was started.
type run struct {
	Key       string `json:"key,omitempty"`
	RequestID string `json:"request-id,omitempty"`
}

// journal is a file with one JSON-encoded run per line. Each line is written with a
// single call before the work starts, so the file holds all runs of a process even
// if the process is killed.
type journal struct {
	file         *os.File
	previousRuns []run // runs that the file contained when it was opened
}

// openJournal opens the journal at path and reads its runs, or creates an empty one.
func openJournal(path string) (*journal, error) {
	content, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	previousRuns, err := decodeJournal(content)
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", path, err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return &journal{file: file, previousRuns: previousRuns}, nil
}

// decodeJournal decodes the runs of a journal. It returns an error if a line is not
// valid JSON or the last line does not end with a newline.
func decodeJournal(content []byte) ([]run, error) {
	var runs []run
	for number := 1; len(content) > 0; number++ {
		line, rest, found := bytes.Cut(content, []byte("\n"))
		if !found {
			return nil, fmt.Errorf("line %d is incomplete", number)
		}
		var r run
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		runs = append(runs, r)
		content = rest
	}
	return runs, nil
}

// encode returns the journal line of the run, including the newline.
func (r run) encode() ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode run: %w", err)
	}
	return append(line, '\n'), nil
}

func (j *journal) append(r run) error {
	line, err := r.encode()
	if err != nil {
		return err
	}
	if _, err := j.file.Write(line); err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	return nil
}

func (j *journal) close() error {
	return j.file.Close()
}
