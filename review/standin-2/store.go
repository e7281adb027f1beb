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
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store, with tables and a feed of changes.
type store struct {
	mu      sync.Mutex
	ver     int64
	rows    map[string]row
	changed chan struct{} // closed at the next write
	started time.Time
	address string
}

// startStore starts a store on a free port of an address.
func startStore(ip string) (*store, error) {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row with an empty part.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
}

// write stores rows at the next version. The caller holds s.mu.
func (s *store) write(rows ...row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	found := s.find(r.FormValue("table"), 0)
	var rows []row
	more := false
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	for _, f := range found {
		if f.Deleted || f.Part != r.FormValue("part") || f.Key < r.FormValue("from") {
			continue
		}
		if len(rows) == limit {
			more = true
			break
		}
		rows = append(rows, f)
	}
	s.answer(w, rows, more)
}

// find returns the rows of a table that changed after a version. The caller holds s.mu.
func (s *store) find(table string, after int64) []row {
	var found []row
	for _, r := range s.rows {
		if r.Table == table && r.Ver > after {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Ver < found[j].Ver })
	return found
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		found, changed := s.find(r.FormValue("table"), after), s.changed
		if len(found) > 0 || !waiting {
			s.answer(w, found, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expectedRevision"`
		Writes   []row `json:"writes"`
		Delete   []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range call.Expected {
		known := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		if known.Deleted {
			known.Ver = 0
		}
		if known.Ver != e.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.answer(w, []row{known}, false)
			return
		}
	}
	for i := range call.Delete {
		call.Delete[i].Deleted = true
	}
	s.write(append(call.Writes, call.Delete...)...)
	s.answer(w, nil, false)
}

// answer sends rows with the version and the clock of the store. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Since(s.started).Milliseconds(),
	})
}
