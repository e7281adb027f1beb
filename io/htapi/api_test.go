package htapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htresource"
	"hawthornturn/core/httime"
	"hawthornturn/internal/httabletest"
	"hawthornturn/io/htsettings"
)

const (
	readerKey = "reader-key-0123456789"
	writerKey = "writer-key-0123456789"
)

// laggingCluster has one other host, which has applied no revision.
type laggingCluster struct{}

func (laggingCluster) Fetch(context.Context, string) (*htresource.Set, error) {
	return nil, errors.New("host unreachable")
}
func (laggingCluster) Push(context.Context, *htresource.Set) error { return nil }
func (laggingCluster) Others() []htconfig.HostRevision             { return []htconfig.HostRevision{{Host: "b"}} }

func newAPI(t *testing.T) (*httptest.Server, *httabletest.Memory) {
	table := httabletest.New()
	next := 0
	store := htconfig.NewStore(table, func() string { next++; return fmt.Sprint("t", next) })
	follower := htconfig.NewFollower("a", store, laggingCluster{}, laggingCluster{}, httime.New())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = follower.Serve(ctx) }()
	server := httptest.NewServer(New(Config{
		Operators: []htsettings.Operator{
			{Name: "r", Key: readerKey, Role: htsettings.RoleReader},
			{Name: "w", Key: writerKey, Role: htsettings.RoleWriter},
		},
		MaxBody:  4096,
		Store:    store,
		Follower: follower,
		Writer:   htconfig.NewWriter(store, follower, laggingCluster{}),
		Timer:    httime.New(),
		Dump:     func(context.Context) any { return map[string]string{"host": "a"} },
		Ready:    func() error { return errors.New("stopping") },
	}))
	t.Cleanup(func() { server.Close(); cancel() })
	return server, table
}

// Guards against responses whose status misleads an operator or a script, and
// against requests that succeed without the required key.
func TestAnswers(t *testing.T) {
	server, table := newAPI(t)
	const domain = `{"name":"a","region":"r","state":"in"}`
	tests := []struct {
		key, request, match, body string
		status                    int
		want                      string
	}{
		{"", "GET /v1/status", "", "", 401, "known key"},
		{writerKey + "x", "GET /v1/status", "", "", 401, "known key"},
		{readerKey, "PUT /v1/failure-domain/a", "", domain, 403, "only read"},
		{readerKey, "POST /v1/apply", "", "{}", 403, "only read"},
		{readerKey, "DELETE /v1/failure-domain/a", "", "", 403, "only read"},
		{"", "GET /debug/vars", "", "", 401, "known key"},
		{"", "GET /ready", "", "", 503, "stopping"},
		{readerKey, "GET /v1/dump", "", "", 200, `"host":"a"`},
		{writerKey, "PUT /v1/failure-domain/a", "", domain, 200, `"action":"create"`},
		{writerKey, "PUT /v1/failure-domain/a", "", domain, 200, `"changes":[]`},
		{writerKey, "PUT /v1/failure-domain/a", "", strings.Replace(domain, "in", "out", 1), 409, `"current":1`},
		{writerKey, "PUT /v1/failure-domain/a", "1", domain, 400, "If-Match"},
		{writerKey, "PUT /v1/failure-domain/b", "", domain, 422, `must be \"b\" as in the path`},
		{writerKey, "PUT /v1/failure-domain/a", "*", `{"name":"A","state":"x"}`, 422, `"field":"state"`},
		{writerKey, "PUT /v1/failure-domain/a", "*", `{"name":`, 422, "invalid input"},
		{writerKey, "POST /v1/apply", "", `{"failure-domains":[{"name":"A","state":"x"},{"name":"B","state":"in"}]}`, 422, `failure-domain/B.name`},
		{writerKey, "POST /v1/apply?revision=7", "", `{}`, 409, `"current":1`},
		{writerKey, "POST /v1/apply?dry-run=true", "", `{}`, 200, `"action":"delete"`},
		{writerKey, "POST /v1/apply", "", `{"rules":[` + strings.Repeat(" ", 5000), 413, "too large"},
		{readerKey, "GET /v1/failure-domain/a", "", "", 200, `"state":"in"`},
		{readerKey, "GET /v1/failure-domain/b", "", "", 404, "not declared"},
		{readerKey, "GET /v1/status?revision=x", "", "", 400, "revision number"},
		{readerKey, "GET /v1/status", "", "", 200, `"in-force":false,"behind":[{"host":"b","applied":0}]`},
		{"", "DOWN", "", "", 0, ""},
		{writerKey, "PUT /v1/failure-domain/a", "*", strings.Replace(domain, "in", "out", 1), 503, "nothing was changed"},
		{readerKey, "GET /v1/failure-domain/a", "", "", 200, `"state":"in"`},
	}
	for _, tt := range tests {
		if tt.request == "DOWN" {
			table.SetUnavailable(true)
			continue
		}
		method, path, _ := strings.Cut(tt.request, " ")
		r, _ := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(tt.body))
		r.Header.Set("Authorization", "Bearer "+tt.key)
		if tt.match != "" {
			r.Header.Set("If-Match", tt.match)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body := new(strings.Builder)
		_ = response.Write(body)
		if response.StatusCode != tt.status || !strings.Contains(body.String(), tt.want) {
			t.Errorf("%s with %s: %s, want %d with %s", tt.request, tt.body, body, tt.status, tt.want)
		}
	}
	if n := len(table.AppliedIDs()); n != 1 {
		t.Errorf("%d transactions, want 1", n)
	}
}

// Guards against a codec that loses a field or an error, and against versions that
// are not passed on.
func TestClient(t *testing.T) {
	for _, cbor := range []bool{false, true} {
		t.Run(fmt.Sprintf("cbor=%v", cbor), func(t *testing.T) {
			server, _ := newAPI(t)
			refused := httptest.NewServer(nil)
			refused.Close()
			c := NewClient([]string{refused.URL, server.URL}, writerKey)
			if cbor {
				c.UseCBOR()
			}
			ctx := t.Context()
			share := 0.05
			set := &htresource.Set{
				Pools:    []htresource.Pool{{Name: "p", ProbesPerSec: 0.5}},
				Services: []htresource.Service{{Name: "s", Hosts: []string{"s.test"}, Pool: "p", RetryShare: &share}},
			}
			if result, err := c.Apply(ctx, set, htconfig.Precondition{}, false); err != nil || len(result.Changes) != 2 {
				t.Fatalf("apply = %+v, %v", result, err)
			}
			service, err := Get[htresource.Service](ctx, c, "s")
			if err != nil || service.Version != 1 || !htresource.Equal(service.Resource, set.Services[0]) {
				t.Errorf("get = %+v, %v", service, err)
			}
			pool := set.Pools[0]
			pool.QueueLimit = 9
			if result, err := c.Put(ctx, pool, htconfig.Precondition{Version: 1}); err != nil || result.Version != 2 {
				t.Errorf("put = %+v, %v", result, err)
			}
			var problem *Problem
			if _, err := c.Put(ctx, set.Pools[0], htconfig.Precondition{Version: 1}); !errors.As(err, &problem) || problem.Current != 2 {
				t.Errorf("put with a stale version: %v", err)
			}
			if _, err := c.Delete(ctx, htresource.KindPool, "p", htconfig.Precondition{Any: true}); !errors.As(err, &problem) || len(problem.Findings) != 1 {
				t.Errorf("delete of a pool in use: %v", err)
			}
			pools, err := GetList[htresource.Pool](ctx, c)
			if err != nil || pools.Revision != 2 || len(pools.Items) != 1 || pools.Items[0].Resource.QueueLimit != 9 {
				t.Errorf("list = %+v, %v", pools, err)
			}
			if status, err := c.Status(ctx, 2); err != nil || status.InForce || len(status.Behind) != 1 {
				t.Errorf("status = %+v, %v", status, err)
			}
		})
	}
}

// Guards against a watch that misses a change or sends an event below its first revision.
func TestWatch(t *testing.T) {
	server, _ := newAPI(t)
	c := NewClient([]string{server.URL}, writerKey)
	done := errors.New("done")
	var seen []uint64
	change := func(state htresource.DomainState) {
		set := &htresource.Set{Domains: []htresource.FailureDomain{{Name: "a", State: state}}}
		if _, err := c.Apply(t.Context(), set, htconfig.Precondition{Any: true}, false); err != nil {
			t.Error(err)
		}
	}
	change("in")
	change("out")
	fromThree, err := c.send(t.Context(), http.MethodGet, "/v1/watch?from=3", nil, nil, jsonCodec)
	if err != nil {
		t.Fatal(err)
	}
	defer fromThree.Body.Close()
	err = c.Watch(t.Context(), 2, func(e Event) error {
		seen = append(seen, e.Revision)
		if e.Revision == 3 {
			if len(e.Changes) != 1 || e.Changes[0].Action != htresource.ActionUpdate {
				t.Errorf("changes = %v", e.Changes)
			}
			return done
		}
		change("in")
		return nil
	})
	if !errors.Is(err, done) || fmt.Sprint(seen) != "[2 3]" {
		t.Errorf("revisions %v, error %v", seen, err)
	}
	var first Event
	if err := json.NewDecoder(fromThree.Body).Decode(&first); err != nil || first.Revision != 3 {
		t.Errorf("first event of the watch from 3 = %+v, %v", first, err)
	}
}

// Guards against a change that is retried after the first host may have accepted it:
// the retry could revert a change that another operator made in between.
func TestClientSendsChangeOnce(t *testing.T) {
	var requests atomic.Int64
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(broken.Close)
	c := NewClient([]string{broken.URL, broken.URL}, writerKey)
	if _, err := c.Apply(t.Context(), &htresource.Set{}, htconfig.Precondition{}, false); err == nil || requests.Load() != 1 {
		t.Errorf("%d requests, %v", requests.Load(), err)
	}
	if _, err := c.Status(t.Context(), 0); err == nil || requests.Load() != 3 {
		t.Errorf("%d requests, %v", requests.Load(), err)
	}
}
