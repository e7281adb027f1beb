package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Header fields of the platform.
const (
	headerID        = "X-Hawthornturn-Request-Id"
	headerSignature = "X-Hawthornturn-Response-Signature"
	headerDeadline  = "X-Hawthornturn-Deadline-Ms"
	headerTarget    = "X-Hawthornturn-Target-Instance"
	headerInstance  = "X-Hawthornturn-Instance-Id"
	headerLoad      = "X-Hawthornturn-Server-Load"
	headerNotRun    = "X-Hawthornturn-Not-Executed"
)

// receiveBuffer is the receive buffer of a worker's connection: the windows of the platform are
// small, so that a worker that does not read blocks the writer.
const receiveBuffer = 64 << 10

// worker is a stand-in of a platform's worker.
type worker struct {
	id       string
	service  string
	zone     string
	slots    int
	listener net.Listener
	// work answers a request whose head was read. It reports whether the connection may be kept.
	work   func(w *worker, conn net.Conn, request *http.Request) (keep bool)
	record *recorder

	mu      sync.Mutex
	running int
}

// startWorker starts a worker on a free port and announces it.
func (r *run) startWorker(id, ip, service, zone string, slots int, work func(w *worker, conn net.Conn, request *http.Request) bool) (*worker, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(r.net+"."+ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, slots: slots, listener: l, work: work, record: r.record}
	go w.accept()
	r.announce(w, "ready")
	return w, nil
}

// announce writes the row of a worker.
func (r *run) announce(w *worker, state string) {
	r.store.put("servers", w.id, map[string]any{
		"address": w.listener.Addr().String(), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": w.service, "zone": w.zone, "version": "v1", "slots": w.slots},
		"status": map[string]any{"state": state, "seq": 1, "coldLeftMs": 0},
	})
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(receiveBuffer)
		}
		go w.serve(conn)
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, w.id, headerLoad, w.load())
			continue
		}
		if target := request.Header.Get(headerTarget); target != "" && target != w.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, w.id)
			return
		}
		w.change(1)
		w.record.add("%s runs %s %s %s", w.id, request.Header.Get(headerID), request.Method, request.URL.Path)
		keep := w.work(w, conn, request)
		w.change(-1)
		if !keep || request.Close {
			return
		}
	}
}

func (w *worker) change(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running += n
}

// load returns the load that the worker tells.
func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", min(w.running, w.slots), w.slots)
}

// head returns the head of a success with the given fields.
func (w *worker) head(request *http.Request, fields string) string {
	id := request.Header.Get(headerID)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\n%s: %s\r\n%s\r\n", headerID, id, headerSignature, id, headerLoad, w.load(), fields)
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// discard reads the rest of a body.
func discard(request *http.Request) error {
	_, err := io.Copy(io.Discard, request.Body)
	return err
}
