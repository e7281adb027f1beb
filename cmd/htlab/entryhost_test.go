package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hawthornturn/io/hthost"
	"hawthornturn/io/htplatform"
)

// hostSettings is the format of an entry host's settings. Its arguments are the name,
// the failure domain, the addresses for callers, peers and operators, the platform's
// address and the lease settings.
const hostSettings = `name: %[1]s
failure-domain: %[2]s
listen: {callers: %[3]q, peers: %[4]q, operators: %[5]q}
platform: {table: "http://%[6]s", host-list: "http://%[6]s"}
peer-tls: {ca: ca.pem, cert: %[1]s.pem, key: %[1]s-key.pem}
operators: [{name: test, key: ` + operatorKey + `, role: writer}]
lease: {%[7]s}
max-clock-skew: 100ms
stop-notice: 1s
`

const (
	operatorKey  = "test-writer-key-0123456789"
	maxClockSkew = 100 * time.Millisecond
)

func scriptHost(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: host NAME DOMAIN")
	}
	name := args[0]
	callers := freeAddress(ts)
	content := fmt.Sprintf(hostSettings, name, args[1], callers, freeAddress(ts), freeAddress(ts), ts.Getenv("platform"), ts.Getenv("lease"))
	file := name + ".yaml"
	ts.Check(os.WriteFile(ts.MkAbs(file), []byte(content), 0o600))
	list := htplatform.NewHostList(htplatform.Settings{URL: "http://" + ts.Getenv("platform")})
	defer list.Close()
	ts.Check(list.Register(context.Background(), name, callers, htplatform.HostLive))
	scriptStart(ts, neg, []string{name, "hawthornturn", "serve", "--settings", file})
}

func scriptExpand(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: expand FROM TO")
	}
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// scriptSettle waits until all hosts agree on the membership, and then for three times
// the maximum clock skew: a new key owner that did not receive a predecessor's state
// rejects calls with keys created before it took over or within twice the maximum clock
// skew afterwards (reason fenced).
func scriptSettle(ts *testscript.TestScript, _ bool, names []string) {
	slices.Sort(names)
	for _, name := range names {
		waitFor(ts, func() string {
			select {
			case <-findProcess(ts, name).exited:
				ts.Fatalf("%s ended:\n%s", name, findProcess(ts, name).output())
			default:
			}
			if reason := notSettledReason(ts, name, names); reason != "" {
				return name + ": " + reason
			}
			return ""
		})
	}
	time.Sleep(3 * maxClockSkew)
}

// notSettledReason returns why a host is not settled, or "" if it is.
func notSettledReason(ts *testscript.TestScript, name string, names []string) string {
	dump, err := readDump(ts.Getenv(name + "_operators"))
	if err != nil {
		return err.Error()
	}
	var members []string
	for _, m := range dump.Membership.View.Members {
		members = append(members, m.Host)
	}
	switch {
	case !dump.Ready:
		return "not ready: " + dump.NotReadyReason
	case dump.AppliedRevision == 0:
		return "no configuration applied"
	case !slices.Equal(members, names):
		return fmt.Sprintf("view has members %v", members)
	case len(dump.Membership.Pending) > 0:
		return fmt.Sprintf("%d shards pending", len(dump.Membership.Pending))
	}
	return ""
}

func readDump(address string) (hthost.Dump, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/dump", nil)
	if err != nil {
		return hthost.Dump{}, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return hthost.Dump{}, err
	}
	defer response.Body.Close()
	var dump hthost.Dump
	if err := json.NewDecoder(response.Body).Decode(&dump); err != nil {
		return hthost.Dump{}, fmt.Errorf("decode dump: %w", err)
	}
	return dump, nil
}
