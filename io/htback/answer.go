package htback

import (
	"bytes"
	"errors"
	"fmt"
	"sync/atomic"
)

// ErrNoAnswer means that an upstream sent a response that is no answer to the request.
var ErrNoAnswer = errors.New("response is no answer")

// answerHead checks the heads of the responses on a connection before net/http parses them.
// net/http rejects some malformed heads, but accepts any status of three characters, unfolds
// fields, and drops a length beside chunks.
type answerHead struct {
	awaited atomic.Bool // a request is sent, and no byte of its response has been read
	reading bool        // the head of a response is not yet complete
	line    []byte      // start of the line that is not yet complete
	lines   int         // complete lines of the head
	interim bool        // the status is from 100 to 199
	http10  bool
	length  bool // has a Content-Length field
	coding  bool // has a Transfer-Encoding field
}

// await tells that the next byte that is read starts the response to a request.
func (a *answerHead) await() { a.awaited.Store(true) }

// check reads the next bytes of the connection. The bytes of bodies are not checked.
func (a *answerHead) check(data []byte) error {
	if len(data) > 0 && a.awaited.Swap(false) {
		a.start()
	}
	for a.reading {
		line, rest, complete := bytes.Cut(data, []byte("\n"))
		a.line = append(a.line, line...)
		if !complete {
			return nil
		}
		if err := a.checkLine(bytes.TrimSuffix(a.line, []byte("\r"))); err != nil {
			return fmt.Errorf("%w: %w", ErrNoAnswer, err)
		}
		a.line, data = a.line[:0], rest
	}
	a.line = nil
	return nil
}

func (a *answerHead) start() {
	a.reading, a.line, a.lines = true, a.line[:0], 0
	a.interim, a.http10, a.length, a.coding = false, false, false, false
}

func (a *answerHead) checkLine(line []byte) error {
	if i := bytes.IndexFunc(line, isControl); i >= 0 {
		return fmt.Errorf("byte %#x in the head", line[i])
	}
	a.lines++
	switch {
	case a.lines == 1:
		return a.checkStatusLine(line)
	case len(line) > 0:
		return a.checkField(line)
	case a.coding && (a.length || a.http10):
		return errors.New("transfer coding beside a length or in HTTP/1.0")
	case a.interim:
		a.start()
	default:
		a.reading = false
	}
	return nil
}

// isControl reports whether a head must not contain a character. Tabs are allowed.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// checkStatusLine checks a line such as "HTTP/1.1 200 OK". The reason may be missing. An answer
// has one final status, from 200 to 599. Interim responses may precede it, other than 101, which
// no request asks for.
func (a *answerHead) checkStatusLine(line []byte) error {
	const start, size = len("HTTP/1.1 "), len("HTTP/1.1 200")
	a.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
	if !a.http10 && !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) || len(line) < size || len(line) > size && line[size] != ' ' {
		return fmt.Errorf("status line %.40q", line)
	}
	status := 0
	for _, c := range line[start:size] {
		if c < '0' || c > '9' {
			return fmt.Errorf("status line %.40q", line)
		}
		status = 10*status + int(c-'0')
	}
	if status < 100 || status == 101 || status > 599 {
		return fmt.Errorf("status %03d", status)
	}
	a.interim = status < 200
	return nil
}

func (a *answerHead) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return fmt.Errorf("field %.40q", line) // folded, for example
	}
	a.length = a.length || bytes.EqualFold(name, []byte("Content-Length"))
	a.coding = a.coding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}
