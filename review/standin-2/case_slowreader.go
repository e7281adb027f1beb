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
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = playSlowReader }

const (
	readerClients    = 8
	readerAnswerSize = 1 << 20
	readerBudget     = 9 * time.Second
	// readerPiece with readerPause make the pace of a client: 200 kB/s, 1.6 Mbit/s.
	readerPiece         = 20_000
	readerPause         = 100 * time.Millisecond
	readerReceiveBuffer = 16 << 10
	readerTime          = 20 * time.Second
	// uploaders send bodies of legal size at once, 100 MB/s in all: less than the link of a host.
	uploaders      = 12
	uploadSize     = 16 << 20
	uploadPiece    = 256 << 10
	uploadPause    = 30 * time.Millisecond
	uploadersStart = 3 * time.Second
	// lostAllowed is the bound of the rule.
	lostAllowed = 3
)

func readerAnswer(id string) []byte {
	return bytes.Repeat([]byte(id+"\n"), readerAnswerSize/(len(id)+1))
}

// playSlowReader has clients that read answers steadily on slow links, on kept connections, while
// others upload bodies of legal size.
func playSlowReader(r *run, trouble bool) (int, error) {
	r.store.put("op", "config", config(7, rule{"lookup", "idempotent", "/l/", serviceOne, 10_000}, rule{"book", "non_idempotent", "/b/", serviceTwo, 10_000}))
	var mu sync.Mutex
	ran := map[string]bool{}
	work := func(w *worker, conn net.Conn, request *http.Request) bool {
		if discard(request) != nil {
			return false
		}
		id := request.Header.Get(headerID)
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		whole := []byte("ok")
		if w.service == serviceOne {
			whole = readerAnswer(id)
		}
		_, _ = io.WriteString(conn, w.head(request, fmt.Sprintf("Content-Length: %d\r\n", len(whole))))
		_, err := conn.Write(whole)
		return err == nil
	}
	for i := range 8 {
		if _, err := r.startWorker(fmt.Sprintf("i-%d", i+1), "20", []string{serviceOne, serviceTwo}[i%2], "west-a", 4, work); err != nil {
			return 0, err
		}
	}
	h, err := r.startHost(1, "west-a")
	if err != nil {
		return 0, err
	}
	end := time.Now().Add(readerTime)
	var whole, lost, uploaded, refused, failed atomic.Int64
	var all sync.WaitGroup
	reader := func(number int) {
		for n := 0; time.Now().Before(end); {
			dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
				return c.Control(func(fd uintptr) {
					_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readerReceiveBuffer)
				})
			}}
			conn, err := dialer.Dial("tcp4", h.front)
			if err != nil {
				time.Sleep(time.Second)
				continue
			}
			stream := bufio.NewReaderSize(pacedReader{conn, readerPiece, readerPause}, readerPiece)
			for onConn := 0; time.Now().Before(end); onConn++ {
				id := fmt.Sprintf("s-%d-%d", number, n)
				n++
				sent := time.Now()
				_, _ = fmt.Fprintf(conn, "GET /l/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", id, hostName, headerID, id, headerDeadline, readerBudget.Milliseconds())
				response, err := http.ReadResponse(stream, nil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(response.Body)
				}
				took := time.Since(sent)
				mu.Lock()
				passedOn := ran[id]
				mu.Unlock()
				if err != nil {
					r.record.add("reader %d: %s, request %d of its connection: the connection ended after %v with %d bytes of its answer: %v; it has run: %t", number, id, onConn+1, took.Round(time.Millisecond), len(body), err, passedOn)
					if passedOn && onConn > 0 && took < readerBudget {
						lost.Add(1)
					}
					break
				}
				r.record.add("reader %d: %s: status %d, %d bytes after %v", number, id, response.StatusCode, len(body), took.Round(time.Millisecond))
				if response.StatusCode == http.StatusOK {
					whole.Add(1)
				}
				if response.Close {
					break
				}
			}
			_ = conn.Close()
		}
	}
	upload := func(number int) {
		for n := 0; time.Now().Before(end); n++ {
			conn, err := net.Dial("tcp4", h.front)
			if err != nil {
				time.Sleep(time.Second)
				continue
			}
			id := fmt.Sprintf("u-%d-%d", number, n)
			_, _ = fmt.Fprintf(conn, "POST /b/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", id, hostName, headerID, id, headerDeadline, readerBudget.Milliseconds(), uploadSize)
			piece := bytes.Repeat([]byte("u"), uploadPiece)
			for sent := 0; sent < uploadSize && err == nil; sent += uploadPiece {
				_, err = conn.Write(piece)
				time.Sleep(uploadPause)
			}
			_ = conn.SetReadDeadline(time.Now().Add(readerBudget))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			switch {
			case err != nil:
				failed.Add(1)
			case response.StatusCode == http.StatusOK:
				uploaded.Add(1)
			default:
				refused.Add(1)
				time.Sleep(300 * time.Millisecond)
			}
			_ = conn.Close()
		}
	}
	for number := range readerClients {
		all.Go(func() { reader(number) })
	}
	if trouble {
		time.Sleep(uploadersStart)
		r.record.add("uploads begin")
		for number := range uploaders {
			all.Go(func() { upload(number) })
		}
	}
	all.Wait()
	r.record.add("whole answers %d; uploads served %d, refused %d, without an answer %d", whole.Load(), uploaded.Load(), refused.Load(), failed.Load())
	r.record.add("requests from kept connections that ran and whose connection was closed without a whole answer: %d, allowed %d", lost.Load(), lostAllowed)
	if whole.Load()+uploaded.Load() < readerClients {
		return 0, errors.New("too few requests were answered")
	}
	if lost.Load() > lostAllowed {
		return broken, nil
	}
	return held, nil
}

// pacedReader reads at the pace of a link.
type pacedReader struct {
	conn  net.Conn
	piece int
	pause time.Duration
}

// Read implements io.Reader.
func (p pacedReader) Read(b []byte) (int, error) {
	time.Sleep(p.pause)
	return p.conn.Read(b[:min(len(b), p.piece)])
}
