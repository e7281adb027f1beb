package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipelined-stop"] = playPipelinedStop }

const (
	pipeClients    = 12
	pipeAhead      = 3 // requests of a connection without an answer
	pipeAnswerSize = 30_000
	pipeWork       = 30 * time.Millisecond
	pipeBudget     = 4 * time.Second
	pipeTimeout    = 2 * time.Second // of the route
	// pipeReceiveBuffer and pipePiece with pipePause make the link of a client: 2.4 Mbit/s.
	pipeReceiveBuffer = 4 << 10
	pipePiece         = 3000
	pipePause         = 10 * time.Millisecond
	pipeBefore        = 2 * time.Second // from the start of the clients to the signal
	pipeAfter         = 7 * time.Second // from the signal to the end: the grace period and 1 s
)

// slowReader reads at the pace of a client's link.
type slowReader struct{ conn net.Conn }

// Read implements io.Reader.
func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(pipePause)
	return s.conn.Read(p[:min(len(p), pipePiece)])
}

// pipeRun is what the clients and workers have seen.
type pipeRun struct {
	*run
	mu      sync.Mutex
	ran     map[string]bool
	whole   int
	cut     int // requests that ran and whose connection ended without a whole answer
	stopped time.Time
}

// client keeps pipeAhead requests on one connection to a host until it closes the connection.
func (p *pipeRun) client(number, round int, h *entryHost, end time.Time) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, pipeReceiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp4", h.front)
	if err != nil {
		p.record.add("client %d: %v", number, err)
		return
	}
	defer conn.Close()
	type sentRequest struct {
		id string
		at time.Time
	}
	var waiting []sentRequest
	n := 0
	send := func() {
		id := fmt.Sprintf("p-%d-%d-%d", round, number, n)
		n++
		waiting = append(waiting, sentRequest{id, time.Now()})
		if _, err := fmt.Fprintf(conn, "GET /l/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", id, hostName, headerID, id, headerDeadline, pipeBudget.Milliseconds()); err != nil {
			p.record.add("client %d: sending %s: %v", number, id, err)
		}
	}
	for range pipeAhead {
		send()
	}
	reader := bufio.NewReaderSize(slowReader{conn}, 4<<10)
	for len(waiting) > 0 {
		first := waiting[0]
		response, err := http.ReadResponse(reader, nil)
		var body []byte
		closes := false
		if err == nil {
			closes = response.Close
			body, err = io.ReadAll(response.Body)
		}
		took := time.Since(first.at)
		if err != nil {
			p.ended(number, h, first.id, took, len(body), err)
			for _, w := range waiting[1:] {
				p.record.add("client %d: %s was sent behind it", number, w.id)
			}
			return
		}
		waiting = waiting[1:]
		p.record.add("client %d at %s: %s: status %d, %d bytes, close %t, after %v", number, h.name, first.id, response.StatusCode, len(body), closes, took.Round(time.Millisecond))
		if response.StatusCode == http.StatusOK && !bytes.Equal(body, pipeAnswer(first.id)) {
			p.record.add("client %d: %s has another body", number, first.id)
		}
		p.mu.Lock()
		p.whole++
		p.mu.Unlock()
		if closes {
			return
		}
		if time.Now().Before(end) {
			send()
		}
	}
}

// ended records a connection that has ended before the answer to a request was whole.
func (p *pipeRun) ended(number int, h *entryHost, id string, took time.Duration, got int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.add("client %d at %s: %s: the connection ended after %v, with %d bytes of its answer: %v; it has run: %t", number, h.name, id, took.Round(time.Millisecond), got, err, p.ran[id])
	if p.ran[id] && took < pipeTimeout && !p.stopped.IsZero() {
		p.cut++
		p.record.add("BROKEN, LOST: %s was passed on to a worker, which answered it, and its connection ended without a complete answer %v after the SIGTERM", id, time.Since(p.stopped).Round(time.Millisecond))
	}
}

func pipeAnswer(id string) []byte {
	return bytes.Repeat([]byte(id+"\n"), pipeAnswerSize/(len(id)+1))
}

// playPipelinedStop stops hosts by SIGTERM while clients on slow links send requests ahead.
func playPipelinedStop(r *run, trouble bool) (int, error) {
	r.store.put("op", "config", config(7, rule{"lookup", "idempotent", "/l/", serviceOne, int(pipeTimeout.Milliseconds())}))
	p := &pipeRun{run: r, ran: map[string]bool{}}
	work := func(w *worker, conn net.Conn, request *http.Request) bool {
		id := request.Header.Get(headerID)
		time.Sleep(pipeWork)
		p.mu.Lock()
		p.ran[id] = true
		p.mu.Unlock()
		whole := pipeAnswer(id)
		_, _ = io.WriteString(conn, w.head(request, fmt.Sprintf("Content-Length: %d\r\n", len(whole))))
		_, err := conn.Write(whole)
		return err == nil
	}
	for i := range 8 {
		zone := []string{"west-a", "west-b"}[i%2]
		if _, err := r.startWorker(fmt.Sprintf("i-%d", i+1), "20", serviceOne, zone, 2, work); err != nil {
			return 0, err
		}
	}
	for i, zone := range []string{"west-a", "west-b"} {
		if _, err := r.startHost(i+1, zone); err != nil {
			return 0, err
		}
	}
	for round, h := range r.hosts {
		var clients sync.WaitGroup
		end := time.Now().Add(pipeBefore + pipeAfter)
		for c := range pipeClients {
			clients.Go(func() { p.client(c, round, h, end) })
		}
		time.Sleep(pipeBefore)
		if trouble {
			p.mu.Lock()
			p.stopped = time.Now()
			p.mu.Unlock()
			r.record.add("SIGTERM to %s", h.name)
			h.signal(syscall.SIGTERM)
		}
		clients.Wait()
		if trouble {
			select {
			case <-h.exited:
				r.record.add("%s has ended", h.name)
			case <-time.After(graceS * time.Second):
				return 0, errors.New("the host has not ended")
			}
		}
	}
	r.record.add("whole answers: %d; requests that ran and got none: %d", p.whole, p.cut)
	if p.whole < 100 {
		return 0, fmt.Errorf("only %d requests were answered", p.whole)
	}
	if p.cut > 0 {
		return broken, nil
	}
	return held, nil
}
