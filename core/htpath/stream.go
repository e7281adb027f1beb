package htpath

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htconn"
	"hawthornturn/core/htdispatch"
)

// streamCredit is how far the sender of a streamed body can be ahead of htconn.MinRate.
const streamCredit = htconn.Stall

// stream is a request body that is sent on while it arrives. It knows how far its sender is behind
// htconn.MinRate, not counting the time in which the upstream does not read.
type stream struct {
	source io.Reader

	mu      sync.Mutex    // guards the fields below
	lag     time.Duration // how far the sender is behind
	waiting time.Time     // since when a read waits for the sender; zero if none does
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	s.waiting = time.Now()
	s.mu.Unlock()
	n, err := s.source.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag += time.Since(s.waiting) - time.Duration(n)*time.Second/htconn.MinRate
	s.lag = max(s.lag, -streamCredit)
	s.waiting = time.Time{}
	return n, err
}

// behind returns how far the sender is behind.
func (s *stream) behind() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.IsZero() {
		return s.lag
	}
	return s.lag + time.Since(s.waiting)
}

// streams are the calls on upstreams whose bodies are streamed. It is not safe for concurrent use.
type streams map[htdispatch.Ticket]streamedCall

type streamedCall struct {
	id   string
	body *stream
	end  context.CancelFunc
}

// endStalled ends the call whose sender is the furthest behind, if one is behind by htconn.Stall.
func (s streams) endStalled() {
	var last htdispatch.Ticket
	most := htconn.Stall
	for ticket, call := range s {
		if behind := call.body.behind(); behind >= most {
			last, most = ticket, behind
		}
	}
	if call, ok := s[last]; ok {
		delete(s, last)
		logrus.WithFields(logrus.Fields{"event": "stream-ended", "call": call.id, "behind-ms": most.Milliseconds()}).Info("ended a call whose body has stalled, since others wait for its upstream")
		call.end()
	}
}
