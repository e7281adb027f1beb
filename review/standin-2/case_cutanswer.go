package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["cut-answer"] = playCutAnswer }

const (
	cutRequests = 400
	cutWorkers  = 4
	// cutEvery is the dose: one answer in 20, on every second worker.
	cutEvery       = 20
	cutFor         = 5 * time.Second // from the first of these answers
	cutBudget      = 1200 * time.Millisecond
	cutRequestSize = 8 << 20
	cutAnswerSize  = 200_000
	cutReadFirst   = 64 << 10
	// cutPause is the time between the first half of an answer and the reset.
	cutPause = 5 * time.Millisecond
)

// cutAnswer returns the whole answer to a request.
func cutAnswer(id string) []byte {
	return bytes.Repeat([]byte(id+"\n"), cutAnswerSize/(len(id)+1))
}

// playCutAnswer sends long requests. One answer in cutEvery on half of the workers is given before
// the request is read, has no length and, with trouble, is reset in its middle.
func playCutAnswer(r *run, trouble bool) (int, error) {
	r.store.put("op", "config", config(7, rule{"book", "non_idempotent", "/b/", serviceOne, int(cutBudget.Milliseconds())}))
	var firstCut atomic.Int64 // Unix time in nanoseconds, or 0
	for i := range cutWorkers {
		faulty := i%2 == 0
		var answers atomic.Int64
		work := func(w *worker, conn net.Conn, request *http.Request) bool {
			id := request.Header.Get(headerID)
			whole := cutAnswer(id)
			spoil := faulty && answers.Add(1)%cutEvery == 0
			if spoil {
				firstCut.CompareAndSwap(0, time.Now().UnixNano())
				spoil = time.Since(time.Unix(0, firstCut.Load())) < cutFor
			}
			if !spoil {
				if discard(request) != nil {
					return false
				}
				_, _ = io.WriteString(conn, w.head(request, fmt.Sprintf("Content-Length: %d\r\n", len(whole))))
				_, err := conn.Write(whole)
				return err == nil
			}
			_, _ = io.ReadFull(request.Body, make([]byte, cutReadFirst))
			_, _ = io.WriteString(conn, w.head(request, "Connection: close\r\n"))
			if !trouble {
				_, _ = conn.Write(whole)
				r.record.add("%s answers %s early without a length, %d bytes", w.id, id, len(whole))
				_ = discard(request)
				return false
			}
			_, _ = conn.Write(whole[:len(whole)/2])
			time.Sleep(cutPause)
			reset(conn)
			r.record.add("%s answers %s early without a length, and resets after %d of %d bytes", w.id, id, len(whole)/2, len(whole))
			return false
		}
		zone := []string{"west-a", "west-b"}[i/2]
		if _, err := r.startWorker(fmt.Sprintf("i-%d", i+1), "20", serviceOne, zone, 2, work); err != nil {
			return 0, err
		}
	}
	for i, zone := range []string{"west-a", "west-b"} {
		if _, err := r.startHost(i+1, zone); err != nil {
			return 0, err
		}
	}
	client := &http.Client{Timeout: 5 * time.Second}
	statuses := map[string]int{}
	wrong := 0
	for n := range cutRequests {
		id := fmt.Sprintf("r-%d", n)
		h := r.hosts[n%len(r.hosts)]
		request, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/b/"+id, bytes.NewReader(make([]byte, cutRequestSize)))
		if err != nil {
			return 0, err
		}
		request.Host = hostName
		request.Header.Set(headerID, id)
		request.Header.Set(headerDeadline, fmt.Sprint(cutBudget.Milliseconds()))
		response, err := client.Do(request)
		if err != nil {
			statuses["no answer"]++
			r.record.add("%s at %s: %v", id, h.name, err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		statuses[fmt.Sprint(response.StatusCode)]++
		r.record.add("%s at %s: status %d, signature %q, content length %d, %d bytes, end %v",
			id, h.name, response.StatusCode, response.Header.Get(headerSignature), response.ContentLength, len(body), err)
		if response.StatusCode == http.StatusOK && err == nil && sha256.Sum256(body) != sha256.Sum256(cutAnswer(id)) {
			wrong++
			r.record.add("%s: BROKEN, MIXED: a success with %d of the worker's %d bytes", id, len(body), len(cutAnswer(id)))
		}
	}
	r.record.add("answers by status: %s; successes with a body that is not whole: %d", strings.TrimPrefix(fmt.Sprint(statuses), "map"), wrong)
	if statuses["200"] < cutRequests/2 {
		return 0, fmt.Errorf("only %d of %d requests were served", statuses["200"], cutRequests)
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
