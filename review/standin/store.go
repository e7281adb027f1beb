package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"nowMs"`
}

// store is a stand-in for the platform's store: one counter for all versions, pages of 500
// rows, and answers after a fixed time. Its answers are linearizable.
type store struct {
	mu       sync.Mutex
	ver      int64
	rows     map[string]row // by table and key
	changed  chan struct{}
	answerIn time.Duration
	// onGet is called, without the lock, after a page has been read and before it is sent.
	onGet   func(table, from string)
	started time.Time
	server  *http.Server
	address string
}

func newStore(listener net.Listener) *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), answerIn: 4 * time.Millisecond, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	s.server = &http.Server{Handler: mux}
	s.address = listener.Addr().String()
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// put writes a row as one transaction and returns its version.
func (s *store) put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Value: data, Ver: s.ver}
	s.notify()
	return s.ver
}

// watch sets onGet.
func (s *store) watch(onGet func(table, from string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onGet = onGet
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Deleted: true, Ver: s.ver}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the rows of a table that changed after a version. The caller holds s.mu.
func (s *store) since(table string, after int64, deleted bool) rowsAnswer {
	a := rowsAnswer{Rows: []row{}, Ver: s.ver, NowMs: time.Since(s.started).Milliseconds()}
	for _, r := range s.rows {
		if r.Table == table && r.Ver > after && (deleted || !r.Deleted) {
			a.Rows = append(a.Rows, r)
		}
	}
	return a
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.answerIn)
	table, from, target := r.FormValue("table"), r.FormValue("from"), r.FormValue("target")
	limit := 500
	if n, err := strconv.Atoi(r.FormValue("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	a := s.since(table, 0, false)
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	kept := a.Rows[:0]
	for _, x := range a.Rows {
		if x.Part == r.FormValue("part") && x.Key >= from && (target == "" || x.Key < target) {
			kept = append(kept, x)
		}
	}
	a.Rows = kept
	if len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	onGet := s.onGet
	s.mu.Unlock()
	if onGet != nil {
		onGet(table, from)
	}
	writeJSON(w, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.answerIn)
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		a, changed := s.since(r.FormValue("table"), after, true), s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 || wait <= 0 {
			sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Ver < a.Rows[j].Ver })
			writeJSON(w, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.answerIn)
	var body struct {
		ExpectedRevision []row `json:"expectedRevision"`
		Writes           []row `json:"writes"`
		Delete           []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, `{"error":"not JSON"}`, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row{}, body.Writes...), body.Delete...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, `{"error":"not allowed"}`, http.StatusForbidden)
			return
		}
	}
	for _, x := range body.ExpectedRevision {
		known := s.rows[x.Table+"/"+x.Key]
		if known.Deleted {
			known.Ver = 0
		}
		if known.Ver != x.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, rowsAnswer{Rows: []row{known}, Ver: s.ver})
			return
		}
	}
	s.ver++
	for _, x := range body.Writes {
		x.Ver = s.ver
		s.rows[x.Table+"/"+x.Key] = x
	}
	for _, x := range body.Delete {
		s.rows[x.Table+"/"+x.Key] = row{Table: x.Table, Part: x.Part, Key: x.Key, Deleted: true, Ver: s.ver}
	}
	s.notify()
	writeJSON(w, rowsAnswer{Rows: []row{}, Ver: s.ver, NowMs: time.Since(s.started).Milliseconds()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// configuration returns the value of op/config with one listener of two routes.
func configuration(version int, host string, rules []map[string]any, services ...string) map[string]any {
	clusters := []map[string]any{}
	for _, name := range services {
		clusters = append(clusters, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 220, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 4.1,
		})
	}
	return map[string]any{
		"version": version, "baseVersion": version - 1,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []map[string]any{{"host": host, "rules": rules}},
		"clusters":  clusters,
	}
}

func rule(name, kind, prefix, service string, targetMs, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "targetLatencyMs": targetMs, "priority": 1,
		"match":  map[string]any{"prefix": prefix},
		"action": map[string]any{"service": service, "timeoutMs": timeoutMs, "maxAttempts": attempts},
	}
}

// announcement returns the value of a worker's row.
func announcement(address, service, zone, state string, born int64, slots, seq int) map[string]any {
	return map[string]any{
		"address": address, "born": born,
		"info":   map[string]any{"service": service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": state, "seq": seq, "coldLeftMs": 0},
	}
}
