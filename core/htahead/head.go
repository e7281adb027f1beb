package htahead

import (
	"bytes"
	"net/http"
)

// Status says what Scan found.
type Status int

// Results of Scan.
const (
	Incomplete Status = iota // no end of a header yet
	Complete
	Unclear // another reader might see other requests in the same bytes
)

// Head is the header of a request at the start of some bytes.
type Head struct {
	End       int   // bytes up to and including the blank line
	BodyBytes int64 // declared length of the body that follows
	Fields    int
	Safe      bool // the method is safe (RFC 9110, section 9.2.1), and there is no body
}

const (
	blankLine = "\r\n\r\n"
	version   = " HTTP/1.1"
	// maxLengthDigits is the most digits of a declared length.
	maxLengthDigits = 15
	// maxNameBytes is more than the names of the fields that say where a request ends.
	maxNameBytes = 32
)

// Scan finds the end of the header at the start of data. It takes only the plainest form of a
// request, which all readers understand alike: any other is Unclear. That includes requests
// after which the connection closes, or whose end is not known from the header.
func Scan(data []byte) (Head, Status) {
	end := bytes.Index(data, []byte(blankLine))
	if end < 0 {
		return Head{}, Incomplete
	}
	head := Head{End: end + len(blankLine)}
	first, fields, _ := bytes.Cut(data[:end+2], []byte("\r\n"))
	method, ok := scanRequestLine(first)
	if !ok {
		return Head{}, Unclear
	}
	var f fieldScan
	for len(fields) > 0 {
		line, rest, _ := bytes.Cut(fields, []byte("\r\n"))
		if !f.add(line) {
			return Head{}, Unclear
		}
		fields = rest
		head.Fields++
	}
	if f.hosts != 1 {
		return Head{}, Unclear
	}
	head.BodyBytes = f.length
	head.Safe = f.length == 0 && (string(method) == http.MethodGet || string(method) == http.MethodHead)
	return head, Complete
}

// scanRequestLine returns the method of a request line. The target has to be a path.
func scanRequestLine(line []byte) (method []byte, ok bool) {
	rest, found := bytes.CutSuffix(line, []byte(version))
	name, target, separated := bytes.Cut(rest, []byte(" "))
	if !found || !separated || len(name) == 0 || len(target) == 0 || target[0] != '/' {
		return nil, false
	}
	for _, c := range name {
		if c < 'A' || c > 'Z' {
			return nil, false
		}
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return nil, false
		}
	}
	return name, true
}

// fieldScan gathers what the fields of a header say about the end of the request.
type fieldScan struct {
	hosts   int
	lengths int
	length  int64
}

// add adds a field and reports whether the request is still clear.
func (f *fieldScan) add(line []byte) bool {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || !plainValue(value) {
		return false
	}
	for _, c := range name {
		if !nameByte(c) {
			return false
		}
	}
	var buffer [maxNameBytes]byte
	switch string(appendLower(buffer[:0], name)) {
	case "host":
		f.hosts++
		return plainHost(bytes.Trim(value, " \t"))
	case "content-length":
		f.lengths++
		return f.lengths == 1 && f.setLength(bytes.Trim(value, " \t"))
	case "connection":
		return bytes.EqualFold(bytes.Trim(value, " \t"), []byte("keep-alive"))
	case "transfer-encoding", "te", "trailer", "expect", "upgrade", "proxy-connection":
		return false
	}
	return true
}

// appendLower appends the first maxNameBytes of the name of a field to buffer in lower case. No name
// that add knows is as long as that.
func appendLower(buffer, name []byte) []byte {
	for _, c := range name[:min(len(name), maxNameBytes)] {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		buffer = append(buffer, c)
	}
	return buffer
}

func (f *fieldScan) setLength(digits []byte) bool {
	if len(digits) == 0 || len(digits) > maxLengthDigits {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
		f.length = 10*f.length + int64(c-'0')
	}
	return true
}

func nameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-'
}

func plainValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}

func plainHost(host []byte) bool {
	for _, c := range host {
		if !nameByte(c) && c != '.' && c != ':' && c != '_' {
			return false
		}
	}
	return len(host) > 0
}
