// Command standin2 plays the cases of an independent review against hawthornturn-entry.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// caseLimit bounds a case.
const caseLimit = 110 * time.Second

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// add adds a line.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

var cases = map[string]func(r *run, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(cannotRun)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	record := &recorder{file: file, started: time.Now()}
	r, err := newRun(os.Args[2], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(caseLimit):
		}
		r.end()
		record.add("the case was ended before it was done")
		os.Exit(cannotRun)
	}()
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.end()
	if err != nil {
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	record.add("exit code %d", code)
	os.Exit(code)
}
