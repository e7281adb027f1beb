package htexplain

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// source returns a log that holds lines.
func source(name string, lines ...string) Source {
	text := strings.Join(lines, "\n") + "\n"
	return Source{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }}
}

// at returns a line of a host at a time in milliseconds.
func at(ms int, host, rest string) string {
	t := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf("time=%q level=info host=%s %s", t.Format("2006-01-02T15:04:05.000Z07:00"), host, rest)
}

const noUpstreams = " upstreams=4 upstreams-free=0 upstreams-full=2 upstreams-down=2 service=s"

// Guards against causes that don't follow from the lines of a request.
func TestCause(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
		cause string
		steps int
	}{
		{"on time", []string{at(100, "h", "event=call request=q outcome=done status=200 ms=60 target-ms=200")}, "answered on time, in 60 ms of 200 ms", 1},
		{
			"refused at once",
			[]string{at(0, "h", "event=call request=q outcome=not-run reason=queue-full status=503 ms=0 left-ms=400 retry-after-ms=590 ahead=3"+noUpstreams)},
			"not run, and never will be: the expected wait was longer than the 400 ms given; of 4 upstreams of s 2 down, 2 full, and 3 calls waited before it; told to come back after 590 ms", 1,
		},
		{
			"refused after a wait",
			[]string{
				at(0, "h", "event=wait request=q reason=queue-full ahead=1"),
				at(240, "h", "event=call request=q outcome=not-run reason=queue-full status=503 ms=240 left-ms=400 target-ms=200 retry-after-ms=80 ahead=0"+noUpstreams),
			},
			"not run, and never will be: it waited until no answer could come in time (240 ms, target 200 ms, 400 ms given)", 2,
		},
		{
			"crash",
			[]string{
				at(0, "h", "event=send request=q cause=first upstream=u1"),
				at(50, "h", `event=send-failed request=q cause=broken error="connection reset" upstream=u1`),
				at(51, "h", "event=not-sent-again request=q because=attempts-used cause=failed"),
				at(51, "h", "event=call request=q outcome=unknown reason=broken status=502 ms=51 upstream=u1 sends=1"),
				at(60, "other", "event=upstream-down upstream=u1 gone=true"),
				at(61, "h", "event=upstream-down upstream=u2 gone=true"),
			},
			"may have run: upstream u1 went down while it ran the request (broken: connection reset); not sent once more after this: attempts-used", 4,
		},
		{
			"lost answer",
			[]string{
				at(50, "h", `event=send-failed request=q cause=broken error="answer names another request" upstream=u1`),
				at(51, "h", "event=call request=q outcome=unknown reason=broken status=502 ms=51 upstream=u1 sends=1"),
			},
			"may have run: upstream u1 stayed up, but its answer was lost or spoilt (broken: answer names another request)", 2,
		},
		{
			"slow after the choice",
			[]string{at(400, "h", "event=call request=q outcome=unknown reason=deadline status=504 ms=400 left-ms=400 target-ms=200 upstream=u1 sends=1 speed=100 age-ms=12 expected-ms=80 waited-ms=0")},
			"may have run: 400 ms at u1, which became slow or silent after the choice: 80 ms expected at speed 100% by a report 12 ms old", 1,
		},
		{
			"too little time given",
			[]string{at(90, "h", "event=call request=q outcome=unknown reason=deadline status=504 ms=90 left-ms=90 upstream=u1 sends=1 speed=100 age-ms=12 expected-ms=80 waited-ms=0")},
			"may have run: 90 ms were given, and 80 ms expected", 1,
		},
		{
			"late after a wait",
			[]string{at(400, "h", "event=call request=q outcome=done status=200 ms=400 left-ms=900 target-ms=200 upstream=u1 sends=1 speed=100 age-ms=12 expected-ms=80 waited-ms=300")},
			"answered late: it waited 300 ms of 400 ms for a free upstream", 1,
		},
		{
			"the upstream's own failure",
			[]string{at(40, "h", "event=call request=q outcome=done status=500 ms=40 target-ms=200 upstream=u1 sends=1")},
			"upstream u1 answered with status 500 of its own", 1,
		},
		{
			"killed host",
			[]string{at(0, "h", "event=send request=q cause=first upstream=u1"), at(900, "h", "event=host-started")},
			"no answer: host h ended and started again 900ms after the last step", 1,
		},
		{
			"dropped lines",
			[]string{at(0, "h", "event=send request=q cause=first upstream=u1"), at(900, "h", "event=lines-dropped kind=call/done lines=70")},
			"the end is not in the log: host h dropped 70 lines around it", 1,
		},
	}
	for _, tt := range tests {
		h, err := RequestHistory([]Source{source("log", tt.lines...)}, "q")
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		if !strings.HasPrefix(h.Cause, tt.cause) || len(h.Steps) != tt.steps {
			t.Errorf("%s: %d steps, cause %q, want %d, %q", tt.name, len(h.Steps), h.Cause, tt.steps, tt.cause)
		}
	}
}

// Guards against a history with lines of other requests, hosts or times, and against one
// that depends on the order of the files or on what a collector writes before each line.
func TestHistoryAcrossHosts(t *testing.T) {
	sources := []Source{
		source("second", "  12.5 h2 "+at(20, "h2", "event=upstream-down upstream=u1 gone=true"), at(21, "h2", "event=store-lost")),
		source("first",
			"garbage", `time="torn`,
			at(-90_000, "h1", "event=upstream-down upstream=u1 gone=true"),
			at(-900, "h1", "event=catalog-changed"),
			at(-100, "h1", "event=store-lost"),
			at(0, "h1", "event=send request=q cause=first upstream=u1"),
			at(1, "h1", "event=send request=q2 cause=first upstream=u1"),
			at(30, "h1", "event=call request=q outcome=unknown reason=broken ms=30 upstream=u1 fingerprint=f"),
			at(31, "h1", "event=upstream-fault upstream=u1 seen-by=h1"),
			at(32, "h3", "event=upstream-fault upstream=u1 seen-by=10.0.0.1"),
			at(40_000, "h2", "event=crash-counted fingerprint=f crashes=2"),
		),
	}
	h, err := RequestHistory(sources, "q")
	if err != nil {
		t.Fatal(err)
	}
	var around []string
	for _, l := range h.Nearby {
		around = append(around, l.Host+" "+l.Event)
	}
	want := "h1 store-lost, h2 upstream-down, h1 upstream-fault, h2 crash-counted"
	if got := strings.Join(around, ", "); got != want || len(h.Steps) != 2 || h.Host != "h1" {
		t.Errorf("%d steps on %s, around: %s, want %s", len(h.Steps), h.Host, got, want)
	}
}

// Guards against a wrong name of a request that looks like one without a history.
func TestUnknownRequest(t *testing.T) {
	_, err := RequestHistory([]Source{source("log", at(0, "h", "event=call request=other"))}, "q")
	var missing *NotFoundError
	if !errors.As(err, &missing) || missing.Lines != 1 {
		t.Errorf("error %v", err)
	}
	broken := Source{Name: "log", Open: func() (io.ReadCloser, error) { return nil, errors.New("no such file") }}
	if _, err = RequestHistory([]Source{broken}, "q"); err == nil || !strings.Contains(err.Error(), "read log: no such file") {
		t.Errorf("error %v", err)
	}
}

// Guards against hosts that are told to have a configuration that they have not.
func TestConfig(t *testing.T) {
	hosts, err := ConfigStatus([]Source{source(
		"log",
		at(0, "applied", "event=config-applied version=6"), at(9, "applied", "event=config-applied version=7"),
		at(0, "newer", "event=config-applied version=8"),
		at(0, "behind", "event=config-applied version=6"), at(5, "behind", "event=store-lost"),
		at(0, "refuses", "event=config-applied version=6"), at(5, "refuses", `event=config-refused version=7 error="route has no service"`),
		at(0, "restarted", "event=config-applied version=7"), at(5, "restarted", "event=host-started"),
	)}, 7)
	if err != nil {
		t.Fatal(err)
	}
	got := ""
	for _, h := range hosts {
		got += fmt.Sprintf("%s %d %t %q %t\n", h.Host, h.AppliedVersion, !h.AppliedAt.IsZero(), h.RefusalError, h.StoreLost)
	}
	want := `applied 7 true "" false
behind 6 false "" true
newer 8 true "" false
refuses 6 false "route has no service" false
restarted 0 false "" false
`
	if got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// Guards against a log whose lines the command can't read: no input may stop it.
func FuzzParseLine(f *testing.F) {
	f.Add(at(0, "h", `event=call request=q error="a \"quoted\" text"`))
	f.Add(`time=`)
	f.Add("12 host time=\"2026-05-01T12:00:00.000Z\" a==b \x00")
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parseLine([]byte(text)); ok && l.Time.IsZero() {
			t.Errorf("a line without a time: %q", text)
		}
		for _, l := range []Line{{Event: text, Fields: map[string]string{text: text}}} {
			_ = l.String()
		}
	})
}
