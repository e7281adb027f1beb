package htonce_test

import (
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htview"
)

func TestMain(m *testing.M) {
	htassert.PanicOnViolation.Store(true)
	logrus.SetLevel(logrus.PanicLevel)
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// keyAt returns a key created at the given time; n distinguishes keys of the same time.
func keyAt(created time.Time, n byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	for i := range 6 {
		id[i] = byte(created.UnixMilli() >> (40 - 8*i))
	}
	return id.String()
}

// newOwnerOf returns an owner of the partition of a key, installed without state at the
// given time.
func newOwnerOf(t *testing.T, cfg htonce.Config, key string, at time.Time) *htonce.Owner {
	t.Helper()
	o := htonce.New(cfg)
	if err := o.Install(at, htview.KeyShard("s", key), nil); err != nil {
		t.Fatal(err)
	}
	return o
}

func begin(o *htonce.Owner, now time.Time, key, fingerprint string) htonce.Decision {
	return o.Begin(now, now.Add(time.Second), "s", key, fingerprint)
}

func expect(t *testing.T, got, want htonce.Decision) {
	t.Helper()
	g, isReplay := got.(htonce.Replay)
	w, wantReplay := want.(htonce.Replay)
	if isReplay && wantReplay && string(g.Response) == string(w.Response) {
		return
	}
	if isReplay || wantReplay || got != want {
		t.Fatalf("decision %T %+v, want %T %+v", got, got, want, want)
	}
}

func unknown(reason htcall.Reason) htonce.OutcomeOnly {
	return htonce.OutcomeOnly{Outcome: htcall.Unknown, Reason: reason}
}

// TestKeyRules guards against a key that runs although an earlier owner may have run it,
// and against not-run for a key that may run later.
func TestKeyRules(t *testing.T) {
	const ms = time.Millisecond
	rules := htonce.KeyRules{Fence: epoch.Add(-time.Minute), Retention: 10 * time.Minute, MaxClockSkew: 500 * ms}
	early := rules
	early.Fence = epoch.Add(-time.Hour)
	for _, tt := range []struct {
		name    string
		rules   htonce.KeyRules
		key     string
		outcome htcall.Outcome
		reason  htcall.Reason
	}{
		{"created now", rules, keyAt(epoch, 1), "", ""},
		{"created after the fence", rules, keyAt(rules.Fence.Add(ms), 1), "", ""},
		{"created at the fence", rules, keyAt(rules.Fence, 1), htcall.Unknown, htcall.ReasonFenced},
		{"ahead by the maximum skew", rules, keyAt(epoch.Add(500*ms), 1), "", ""},
		{"ahead by more than the maximum skew", rules, keyAt(epoch.Add(501*ms), 1), htcall.Unknown, htcall.ReasonKeyInvalid},
		{"within the retention", early, keyAt(epoch.Add(-10*time.Minute+501*ms), 1), "", ""},
		{"past the retention", early, keyAt(epoch.Add(-10*time.Minute+500*ms), 1), htcall.Unknown, htcall.ReasonKeyExpired},
		{"no UUID", rules, "order-17", htcall.NotRun, htcall.ReasonKeyInvalid},
		{"UUID of version 4", rules, "f47ac10b-58cc-4372-a567-0e02b2c3d479", htcall.NotRun, htcall.ReasonKeyInvalid},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if outcome, reason := tt.rules.Check(epoch, tt.key); outcome != tt.outcome || reason != tt.reason {
				t.Fatalf("%q %q, want %q %q", outcome, reason, tt.outcome, tt.reason)
			}
		})
	}
}

// TestResend guards against a second run of a key and a wrong result of a repeated call.
func TestResend(t *testing.T) {
	now := epoch.Add(time.Hour)
	for _, tt := range []struct {
		name     string
		outcome  htcall.Outcome
		reason   htcall.Reason
		response []byte
		want     htonce.Decision
	}{
		{"done", htcall.Done, "", []byte("a"), htonce.Replay{Response: []byte("a")}},
		{"done, empty response", htcall.Done, "", []byte{}, htonce.Replay{}},
		{"done, response too large", htcall.Done, "", make([]byte, 11), htonce.OutcomeOnly{Outcome: htcall.Done, Reason: htcall.ReasonAnswerNotKept}},
		{"not run", htcall.NotRun, htcall.ReasonQueueFull, nil, htonce.OutcomeOnly{Outcome: htcall.NotRun, Reason: htcall.ReasonQueueFull}},
		{"unknown", htcall.Unknown, htcall.ReasonBroken, nil, unknown(htcall.ReasonBroken)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			key := keyAt(now, 1)
			o := newOwnerOf(t, htonce.Config{MaxResponseBytes: 10}, key, epoch)
			expect(t, begin(o, now, key, "f"), htonce.Run{})
			expect(t, begin(o, now, key, "f"), htonce.Wait{})
			expect(t, begin(o, now, key, "g"), htonce.OutcomeOnly{Outcome: htcall.NotRun, Reason: htcall.ReasonKeyReused})
			result, moved := o.Finish(now, "s", key, tt.outcome, tt.reason, tt.response)
			if moved {
				t.Fatal("reported as moved")
			}
			expect(t, result, tt.want)
			expect(t, begin(o, now.Add(9*time.Minute), key, "f"), tt.want)
			expect(t, begin(o, now.Add(11*time.Minute), key, "f"), unknown(htcall.ReasonKeyExpired))
			expect(t, begin(o, now, key, "f"), unknown(htcall.ReasonFenced)) // the wall clock steps back
		})
	}
}

// TestHandOver guards against a pending key that runs again at the successor, and against
// the loss of a record, of the fence or of a result reported after the hand-over.
func TestHandOver(t *testing.T) {
	now := epoch.Add(time.Hour)
	key := keyAt(now, 1)
	s := htview.KeyShard("s", key)
	previous := newOwnerOf(t, htonce.Config{}, key, epoch)
	expect(t, begin(previous, now, key, "f"), htonce.Run{})
	state := previous.Export(now, s)
	expect(t, begin(previous, now, key, "f"), unknown(htcall.ReasonOwnerLost))
	next := htonce.New(htonce.Config{})
	if err := next.Install(now, s, state); err != nil {
		t.Fatal(err)
	}
	expect(t, begin(next, now, key, "f"), unknown(htcall.ReasonOwnerLost))
	result, moved := previous.Finish(now, "s", key, htcall.Done, "", []byte("a"))
	if !moved {
		t.Fatal("Finish of the old owner does not request a report to the new owner")
	}
	expect(t, result, htonce.Replay{Response: []byte("a")})
	if _, moved := next.Finish(now, "s", key, htcall.Done, "", []byte("a")); moved {
		t.Fatal("the new owner does not accept the report")
	}
	expect(t, begin(next, now, key, "f"), htonce.Replay{Response: []byte("a")})
	if fence, _ := next.Fence(s); !fence.Equal(epoch.Add(time.Second)) {
		t.Fatalf("fence %s, want the predecessor's", fence)
	}
}

// TestUndecodableState guards against a partition installed without a fence when the
// exported state cannot be decoded.
func TestUndecodableState(t *testing.T) {
	key := keyAt(epoch, 1)
	o := htonce.New(htonce.Config{})
	if err := o.Install(epoch, htview.KeyShard("s", key), []byte("?")); err == nil {
		t.Fatal("Install returned no error for state that cannot be decoded")
	}
	expect(t, begin(o, epoch, key, "f"), unknown(htcall.ReasonFenced))
}

// TestBudgets guards against unbounded growth of responses and records, and against a
// dropped record whose key runs again.
func TestBudgets(t *testing.T) {
	now := epoch.Add(time.Hour)
	key := func(n byte) string { return keyAt(now.Add(time.Duration(n)*time.Millisecond), 0) }
	o := htonce.New(htonce.Config{MaxTotalResponseBytes: 20, MaxPartitionRecords: 3})
	for n := range htview.KeyPartitions {
		if err := o.Install(epoch, htview.Shard{Partition: n}, nil); err != nil {
			t.Fatal(err)
		}
	}
	for n := range byte(3) {
		expect(t, begin(o, now, key(n), "f"), htonce.Run{})
		_, _ = o.Finish(now, "s", key(n), htcall.Done, "", make([]byte, 9))
	}
	expect(t, begin(o, now, key(0), "f"), htonce.OutcomeOnly{Outcome: htcall.Done, Reason: htcall.ReasonAnswerNotKept})
	expect(t, begin(o, now, key(2), "f"), htonce.Replay{Response: make([]byte, 9)})
	first := htview.KeyShard("s", key(0))
	for n, added := byte(3), 0; added < 3; n++ {
		if htview.KeyShard("s", key(n)) == first {
			expect(t, o.Begin(now.Add(time.Second), now.Add(time.Hour), "s", key(n), "f"), htonce.Run{})
			added++
		}
	}
	expect(t, begin(o, now.Add(time.Second), key(0), "f"), unknown(htcall.ReasonFenced))
}

// TestDropFencesNewKey guards against a key that runs although dropping a record to make
// room for it has raised the fence past its creation time.
func TestDropFencesNewKey(t *testing.T) {
	now := epoch.Add(time.Hour)
	newer := keyAt(now.Add(10*time.Millisecond), 0)
	older := keyAt(now, 0)
	for n := byte(1); htview.KeyShard("s", older) != htview.KeyShard("s", newer); n++ {
		older = keyAt(now, n)
	}
	o := newOwnerOf(t, htonce.Config{MaxPartitionRecords: 1}, newer, epoch)
	expect(t, begin(o, now, newer, "f"), htonce.Run{})
	expect(t, begin(o, now, older, "f"), unknown(htcall.ReasonFenced))
}
