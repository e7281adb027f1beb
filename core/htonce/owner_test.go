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

// keyAt returns a key made at a time; n tells keys of the same time apart.
func keyAt(made time.Time, n byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	for i := range 6 {
		id[i] = byte(made.UnixMilli() >> (40 - 8*i))
	}
	return id.String()
}

// owning returns an owner of the partition of a key, installed at a time.
func owning(t *testing.T, cfg htonce.Config, key string, at time.Time) *htonce.Owner {
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

// TestKeyRules guards against keys that run although an earlier owner may have run
// them, and against not-run for a key that may run later.
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
		{"made now", rules, keyAt(epoch, 1), "", ""},
		{"made after the fence", rules, keyAt(rules.Fence.Add(ms), 1), "", ""},
		{"made at the fence", rules, keyAt(rules.Fence, 1), htcall.Unknown, htcall.ReasonFenced},
		{"ahead by the skew", rules, keyAt(epoch.Add(500*ms), 1), "", ""},
		{"ahead by more", rules, keyAt(epoch.Add(501*ms), 1), htcall.Unknown, htcall.ReasonKeyInvalid},
		{"young enough", early, keyAt(epoch.Add(-10*time.Minute+501*ms), 1), "", ""},
		{"too old", early, keyAt(epoch.Add(-10*time.Minute+500*ms), 1), htcall.Unknown, htcall.ReasonKeyExpired},
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

// TestResend guards against a second run of a key and a wrong answer to a resend.
func TestResend(t *testing.T) {
	now := epoch.Add(time.Hour)
	for _, tt := range []struct {
		name    string
		outcome htcall.Outcome
		reason  htcall.Reason
		answer  []byte
		want    htonce.Decision
	}{
		{"done", htcall.Done, "", []byte("a"), htonce.Replay{Response: []byte("a")}},
		{"done, empty answer", htcall.Done, "", []byte{}, htonce.Replay{}},
		{"done, answer too large", htcall.Done, "", make([]byte, 11), htonce.OutcomeOnly{Outcome: htcall.Done, Reason: htcall.ReasonAnswerNotKept}},
		{"not run", htcall.NotRun, htcall.ReasonQueueFull, nil, htonce.OutcomeOnly{Outcome: htcall.NotRun, Reason: htcall.ReasonQueueFull}},
		{"unknown", htcall.Unknown, htcall.ReasonBroken, nil, unknown(htcall.ReasonBroken)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			key := keyAt(now, 1)
			o := owning(t, htonce.Config{MaxResponseBytes: 10}, key, epoch)
			expect(t, begin(o, now, key, "f"), htonce.Run{})
			expect(t, begin(o, now, key, "f"), htonce.Wait{})
			expect(t, begin(o, now, key, "g"), htonce.OutcomeOnly{Outcome: htcall.NotRun, Reason: htcall.ReasonKeyReused})
			result, moved := o.Finish(now, "s", key, tt.outcome, tt.reason, tt.answer)
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

// TestHandOver guards against a pending key that runs again at the successor, and
// against a lost record, fence or late end.
func TestHandOver(t *testing.T) {
	now := epoch.Add(time.Hour)
	key := keyAt(now, 1)
	s := htview.KeyShard("s", key)
	old := owning(t, htonce.Config{}, key, epoch)
	expect(t, begin(old, now, key, "f"), htonce.Run{})
	state := old.Export(now, s)
	expect(t, begin(old, now, key, "f"), unknown(htcall.ReasonOwnerLost))
	next := htonce.New(htonce.Config{})
	if err := next.Install(now, s, state); err != nil {
		t.Fatal(err)
	}
	expect(t, begin(next, now, key, "f"), unknown(htcall.ReasonOwnerLost))
	result, moved := old.Finish(now, "s", key, htcall.Done, "", []byte("a"))
	if !moved {
		t.Fatal("the old owner does not know that the end belongs to the new one")
	}
	expect(t, result, htonce.Replay{Response: []byte("a")})
	if _, moved := next.Finish(now, "s", key, htcall.Done, "", []byte("a")); moved {
		t.Fatal("the new owner does not take the report")
	}
	expect(t, begin(next, now, key, "f"), htonce.Replay{Response: []byte("a")})
	if fence, _ := next.Fence(s); !fence.Equal(epoch.Add(time.Second)) {
		t.Fatalf("fence %s, want the predecessor's", fence)
	}
}

// TestBadMemory guards against a start without fence when the memory of the
// predecessor cannot be read.
func TestBadMemory(t *testing.T) {
	key := keyAt(epoch, 1)
	o := htonce.New(htonce.Config{})
	if err := o.Install(epoch, htview.KeyShard("s", key), []byte("?")); err == nil {
		t.Fatal("unreadable memory reported no error")
	}
	expect(t, begin(o, epoch, key, "f"), unknown(htcall.ReasonFenced))
}

// TestBudgets guards against answers and records that grow without limit, and
// against a dropped record whose key runs again.
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

// TestDropFencesNewKey guards against a key that runs although the record dropped to
// make room for it has raised the fence past it.
func TestDropFencesNewKey(t *testing.T) {
	now := epoch.Add(time.Hour)
	newer := keyAt(now.Add(10*time.Millisecond), 0)
	older := keyAt(now, 0)
	for n := byte(1); htview.KeyShard("s", older) != htview.KeyShard("s", newer); n++ {
		older = keyAt(now, n)
	}
	o := owning(t, htonce.Config{MaxPartitionRecords: 1}, newer, epoch)
	expect(t, begin(o, now, newer, "f"), htonce.Run{})
	expect(t, begin(o, now, older, "f"), unknown(htcall.ReasonFenced))
}
