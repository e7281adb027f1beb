package main

import (
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htresource"
	"hawthornturn/core/httime"
	"hawthornturn/internal/httabletest"
	"hawthornturn/io/htapi"
	"hawthornturn/io/htsettings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hawthornturn": main})
}

// Guards against commands whose output, exit code or effect differs from what
// operators' scripts rely on. Each script runs against its own host.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: func(env *testscript.Env) error { return newHost(env) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits,
			"table": setTable,
			"peer":  setPeer,
		},
	})
}

// peer simulates another host, which has applied a revision that the script sets.
type peer struct{ applied atomic.Uint64 }

func (*peer) Fetch(context.Context, string) (*htresource.Set, error) {
	return nil, errors.New("no set")
}
func (*peer) Push(context.Context, *htresource.Set) error { return nil }
func (p *peer) Others() []htconfig.HostRevision {
	return []htconfig.HostRevision{{Host: "entry-2", Applied: p.applied.Load()}}
}

func newHost(env *testscript.Env) error {
	table, other := httabletest.New(), &peer{}
	other.applied.Store(1000)
	store := htconfig.NewStore(table, uuid.NewString)
	follower := htconfig.NewFollower("entry-1", store, other, other, httime.New())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = follower.Serve(ctx) }()
	server := httptest.NewServer(htapi.New(htapi.Config{
		Operators: []htsettings.Operator{
			{Name: "w", Key: "writer-key-0123456789", Role: htsettings.RoleWriter},
			{Name: "r", Key: "reader-key-0123456789", Role: htsettings.RoleReader},
		},
		MaxBody:  1 << 20,
		Store:    store,
		Follower: follower,
		Writer:   htconfig.NewWriter(store, follower, other),
		Timer:    httime.New(),
		Dump:     func(context.Context) any { return map[string]string{"host": "entry-1"} },
		Ready:    func() error { return nil },
	}))
	env.Defer(func() { server.Close(); cancel() })
	refused := httptest.NewServer(nil)
	refused.Close()
	env.Values["table"], env.Values["peer"] = table, other
	env.Setenv("SERVER", server.URL)
	env.Setenv("REFUSED", refused.URL)
	env.Setenv("GORACE", "atexit_sleep_ms=0") // the default delays the end of each command by 1 s
	env.Setenv("HAWTHORNTURN_SERVERS", server.URL)
	env.Setenv("HAWTHORNTURN_KEY", "writer-key-0123456789")
	wd, err := os.Getwd()
	env.Setenv("EXAMPLES", wd+"/../../examples")
	return err
}

// exits CODE COMMAND... runs a command and requires its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	err := ts.Exec(args[1], args[2:]...)
	var exit interface{ ExitCode() int }
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s: %s", code, args[0], ts.ReadFile("stderr"))
	}
}

// table down|up makes the table service fail or work.
func setTable(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value("table").(*httabletest.Memory).SetUnavailable(args[0] == "down")
}

// peer REVISION sets the revision that the other host reports as applied.
func setPeer(ts *testscript.TestScript, _ bool, args []string) {
	revision, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	ts.Value("peer").(*peer).applied.Store(revision)
}
