package htpath

import (
	"bytes"
	"io"
	"sync"
	"time"

	"hawthornturn/core/htmemory"
)

// spoolLimit is the most bytes of a request body that wait for its end, and of an answer that wait
// for its receiver, instead of occupying a slot of an upstream.
const spoolLimit = 1 << 20

// memoryRetry is the time after which an answer asks for memory again that was short.
const memoryRetry = 100 * time.Millisecond

// spool reads an answer as fast as it arrives and holds it until it is written, as far as memory
// allows: a slow receiver holds memory of this host instead of a slot of the upstream.
type spool struct {
	source io.ReadCloser
	memory *htmemory.Lease
	once   sync.Once // closes the source

	mu       sync.Mutex // guards the fields below
	changed  *sync.Cond
	parts    [][]byte
	held     int // bytes in parts
	reserved int // bytes that parts may hold
	err      error
	closed   bool
}

// newSpool returns a spool that reads the rest of an answer. The caller has reserved copyBufferSize
// bytes for what it holds; it reserves what it holds beyond that.
func newSpool(source io.ReadCloser, memory *htmemory.Lease) *spool {
	s := &spool{source: source, memory: memory, reserved: copyBufferSize}
	s.changed = sync.NewCond(&s.mu)
	memory.Retain()
	go s.fill()
	return s
}

// fill reads the source until it ends or the spool is closed.
func (s *spool) fill() {
	defer s.memory.Release()
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := s.source.Read(buffer[:])
		if err != nil {
			s.closeSource()
		}
		if !s.add(bytes.Clone(buffer[:n]), err) {
			return
		}
	}
}

// add adds a part, once there is room for it, and the error behind it. It reports false if nothing
// more is to be read.
func (s *spool) add(part []byte, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && !s.hasRoom(len(part)) {
		retry := time.AfterFunc(memoryRetry, s.changed.Broadcast)
		s.changed.Wait()
		retry.Stop()
	}
	s.parts, s.held, s.err = append(s.parts, part), s.held+len(part), err
	s.changed.Broadcast()
	return err == nil && !s.closed
}

// hasRoom reports whether n more bytes may be held, and reserves memory for them. The caller holds
// s.mu, which is not held while the reservation waits.
func (s *spool) hasRoom(n int) bool {
	if more := s.held + n - s.reserved; more > 0 && s.reserved+more <= spoolLimit {
		s.mu.Unlock()
		reserved := s.memory.Reserve(int64(more))
		s.mu.Lock()
		if reserved {
			s.reserved += more
		}
	}
	return s.held+n <= s.reserved
}

// Read implements io.Reader.
func (s *spool) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.parts) == 0 && s.err == nil && !s.closed {
		s.changed.Wait()
	}
	switch {
	case len(s.parts) > 0:
		n := copy(p, s.parts[0])
		if s.parts[0] = s.parts[0][n:]; len(s.parts[0]) == 0 {
			s.parts = s.parts[1:]
		}
		s.held -= n
		s.changed.Broadcast()
		return n, nil
	case s.err != nil:
		return 0, s.err
	}
	return 0, io.ErrClosedPipe
}

// Close implements io.Closer.
func (s *spool) Close() error {
	s.mu.Lock()
	s.closed = true
	s.changed.Broadcast()
	s.mu.Unlock()
	s.closeSource()
	return nil
}

func (s *spool) closeSource() { s.once.Do(func() { _ = s.source.Close() }) }
