package htmemory

import (
	"io"
	"slices"
)

// Body holds the bytes of a body in the segments in which they were read, since a copy of them all
// would double what a large body takes.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, segment := range b {
		n += len(segment)
	}
	return n
}

// Reserved returns the most bytes that were reserved to read the body.
func (b Body) Reserved() int64 {
	n := int64(0)
	for _, segment := range b {
		n += int64(cap(segment))
	}
	return n + min(n, shortBytes) // a short one may have been joined
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, segment := range b {
		n, err := w.Write(segment)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reader returns a reader of the bytes from their start.
func (b Body) Reader() io.Reader { return &bodyReader{rest: slices.Clone(b)} }

// String returns a copy of the bytes.
func (b Body) String() string { return string(slices.Concat(b...)) }

// bodyReader reads a Body.
type bodyReader struct{ rest Body }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.rest) > 0 && len(r.rest[0]) == 0 {
		r.rest = r.rest[1:]
	}
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest[0])
	r.rest[0] = r.rest[0][n:]
	return n, nil
}

// WriteTo implements io.WriterTo, without a buffer between.
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) {
	written, err := r.rest.WriteTo(w)
	r.rest = nil
	return written, err
}
