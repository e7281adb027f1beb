package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a worker has read.
type arrival struct {
	at                   time.Time
	worker, id           string
	method, target, body string
	ran                  bool
}

// worker is a stand-in for one worker. It follows the page: it echoes the request id, answers
// its health path at once and signs the answers of requests that it has run.
type worker struct {
	id, service, zone string
	slots             int
	born              int64
	work              time.Duration
	listener          net.Listener
	running           atomic.Int64
	// answer, if set, returns the raw answer to a request that has run, and whether the
	// connection stays open. An empty answer closes the connection.
	answer func(w *worker, r *http.Request, body string) (string, bool)

	mu       sync.Mutex
	arrivals []arrival
	observe  func(arrival)
}

func newWorker(listener net.Listener, id, service, zone string, slots int, work time.Duration) *worker {
	w := &worker{id: id, service: service, zone: zone, slots: slots, work: work, listener: listener, born: time.Now().UnixMilli()}
	go w.accept()
	return w
}

func (w *worker) address() string { return w.listener.Addr().String() }

func (w *worker) announce(s *store, state string) int64 {
	return s.put("servers", w.id, announcement(w.address(), w.service, w.zone, state, w.born, w.slots, 1))
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.Peek(1)
		if err != nil || len(line) == 0 {
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer, keep := w.handle(r, string(data))
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil || !keep || r.Close {
			return
		}
	}
}

func (w *worker) load() string {
	return fmt.Sprintf("X-Hawthornturn-Server-Load: %d,0,%d,100\r\n", w.running.Load(), w.slots)
}

func (w *worker) handle(r *http.Request, body string) (string, bool) {
	if r.RequestURI == "/health" {
		return reply(200, "", w.load()+"X-Hawthornturn-Instance-Id: "+w.id+"\r\n", "ok"), true
	}
	id := r.Header.Get("X-Hawthornturn-Request-Id")
	if r.Header.Get("X-Hawthornturn-Target-Instance") != w.id {
		w.record(r, id, body, false)
		return reply(421, id, w.load()+"X-Hawthornturn-Not-Executed: 1\r\nX-Hawthornturn-Instance-Id: "+w.id+"\r\n", ""), true
	}
	w.running.Add(1)
	w.record(r, id, body, true)
	time.Sleep(w.work)
	w.running.Add(-1)
	if w.answer != nil {
		return w.answer(w, r, body)
	}
	return reply(200, id, w.load()+signature(id), "body of "+id), true
}

func signature(id string) string { return "X-Hawthornturn-Response-Signature: s." + id + "\r\n" }

// reply returns a response as bytes. Header holds whole lines.
func reply(status int, id, header, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		b.WriteString("X-Hawthornturn-Request-Id: " + id + "\r\n")
	}
	b.WriteString(header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	return b.String()
}

func (w *worker) record(r *http.Request, id, body string, ran bool) {
	a := arrival{at: time.Now(), worker: w.id, id: id, method: r.Method, target: r.RequestURI, body: body, ran: ran}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	if w.observe != nil {
		w.observe(a)
	}
}
