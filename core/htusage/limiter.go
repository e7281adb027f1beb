package htusage

import (
	"math/rand/v2"
	"sync"
	"time"

	"hawthornturn/core/htcatalog"
)

// Settings are the bounds that hold for all accounts.
type Settings struct {
	// Window is the time over which the use of an account is judged.
	Window time.Duration
	// Overshoot is the share of a limit, and Slack the number of calls, by which the use in a
	// window may exceed it. Zero means that limits are exact.
	Overshoot float64
	Slack     float64
}

const (
	// reachOvershoot is the part of Settings.Overshoot that the hosts in reach may use while
	// others are silent. The rest is for calls that the hub has not heard of yet.
	reachOvershoot = 0.5
	// mostHosts is the part of the hosts that hubs must hear of to agree on tokens.
	mostHosts = 0.5
	// spread is the part of a Retry-After time by which it varies at random, up and down, so
	// that callers don't come back at once.
	spread = 0.5
	// minWait is the least Retry-After time, and defaultMaxWait the longest if there is no
	// window.
	minWait        = 50 * time.Millisecond
	defaultMaxWait = 5 * time.Second
)

// SettleInterval is the time between calls of Settle.
const SettleInterval = 50 * time.Millisecond

const (
	// nearReportInterval and calmReportInterval are the times between reports of a host while
	// it has calls of an account near its limit, and otherwise.
	nearReportInterval = 100 * time.Millisecond
	calmReportInterval = 200 * time.Millisecond
	// reportSpacing bounds what a hub receives: the time between the reports of its hosts.
	reportSpacing = 2 * time.Millisecond
)

// Refusal says why a call is beyond the limit of its account.
type Refusal struct {
	Account    string
	Limit      htcatalog.UsageLimit
	Share      float64       // of the calls that this host admits
	Age        time.Duration // of the newest level, or negative if this host has none
	RetryAfter time.Duration
}

// Limiter decides which calls of accounts are admitted on one host. It is safe for concurrent
// use.
type Limiter struct {
	mu       sync.Mutex
	settings Settings
	domain   Ref
	start    time.Time
	random   *rand.Rand
	accounts map[string]*account
	byRef    map[Ref]*account
	changed  map[*account]bool // with counts that may not have been told
	ledger   *ledger
	// hub is the host that was last told the counts of this one, and epoch the number of times
	// that it changed.
	hub      uint32
	epoch    uint32
	sequence uint32
	newest   map[uint32]newest // by host
}

// newest identifies the newest news of a host.
type newest struct{ incarnation, sequence, part uint32 }

func (n newest) before(incarnation uint32, o *News) bool {
	return n.incarnation != incarnation || n.sequence < o.Sequence || n.sequence == o.Sequence && n.part < o.Part
}

// New returns a Limiter of a process, in a failure domain, that has started at a time.
func New(settings Settings, domain string, start time.Time, random *rand.Rand) *Limiter {
	return &Limiter{
		settings: settings, domain: RefOf(domain), start: start, random: random,
		accounts: map[string]*account{}, byRef: map[Ref]*account{}, changed: map[*account]bool{}, ledger: newLedger(settings.Slack),
		newest: map[uint32]newest{},
	}
}

// SetAccounts puts the limits of a configuration into force.
func (l *Limiter) SetAccounts(now time.Time, declared []htcatalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	accounts, byRef, changed := map[string]*account{}, map[Ref]*account{}, map[*account]bool{}
	for _, d := range declared {
		if d.Limit.PerSecond <= 0 {
			continue
		}
		d.Limit.Burst = max(d.Limit.Burst, 1) // a bucket of less than one token admits nothing
		a := l.accounts[d.Name]
		if a == nil {
			a = &account{name: d.Name, limit: d.Limit, own: newBucket(now, l.start, d.Limit), demand: newRate(now, d.Limit), credit: l.random.Float64()}
			a.all, a.timely = rate{at: now, constant: timelyTime}, rate{at: now, constant: timelyTime}
			a.count.Account = RefOf(d.Name)
			a.told = a.count
		}
		a.setLimit(now, d.Limit)
		accounts[d.Name], byRef[a.count.Account] = a, a
		if l.changed[a] {
			changed[a] = true
		}
	}
	l.accounts, l.byRef, l.changed = accounts, byRef, changed
	l.setTotals(now)
}

// setTotals gives the ledger the accounts of this host. The caller holds l.mu.
func (l *Limiter) setTotals(now time.Time) {
	before := l.ledger.totals
	l.ledger.totals = make(map[Ref]*total, len(l.byRef))
	for ref, a := range l.byRef {
		t := before[ref]
		if t == nil {
			t = &total{limit: a.limit, bucket: newBucket(now, l.start, a.limit), demand: newRate(now, a.limit), remote: map[Ref]*remote{}}
			if level, near := a.levelInForce(now); near {
				t.bucket.tokens = float64(level.Tokens)
				t.demand.add(now, float64(level.Demand)*t.demand.constant.Seconds())
			}
		}
		t.bucket.refill(now, l.ledger.within(t.limit))
		t.limit, t.demand.constant = a.limit, a.demand.constant
		l.ledger.totals[ref] = t
	}
	for ref := range l.ledger.active {
		if l.ledger.totals[ref] == nil {
			delete(l.ledger.active, ref)
		}
	}
}

// Limits reports whether any account has a limit.
func (l *Limiter) Limits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts) > 0
}

// Admit returns nil if a call of an account is within its limit, and otherwise why it is not.
// Late means that the answer of the call can't be on time. A nil account has no limit.
func (l *Limiter) Admit(now time.Time, of *htcatalog.Account, late bool) *Refusal {
	if of == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[of.Name]
	if a == nil {
		return nil
	}
	l.changed[a] = true
	if a.admit(now, late) {
		return nil
	}
	r := &Refusal{Account: a.name, Limit: a.limit, Share: a.shareOf(now, late), Age: -1, RetryAfter: l.retryAfter(a.wait(now))}
	if _, near := a.levelInForce(now); near {
		r.Age = now.Sub(a.levelAt)
	}
	return r
}

// retryAfter spreads and bounds a Retry-After time. The caller holds l.mu.
func (l *Limiter) retryAfter(wait time.Duration) time.Duration {
	longest := l.settings.Window
	if longest <= 0 {
		longest = defaultMaxWait
	}
	factor := 1 + spread*(2*l.random.Float64()-1)
	return min(max(durationOf(factor*wait.Seconds()), minWait), longest)
}

// GiveBack returns the token of an admitted call that no upstream ran.
func (l *Limiter) GiveBack(now time.Time, of *htcatalog.Account) {
	if of == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[of.Name]; a != nil {
		a.giveBack(now)
		l.changed[a] = true
	}
}

// Apply records news of another host.
func (l *Limiter) Apply(now time.Time, from Source, n *News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, known := l.newest[from.Host]; known && !last.before(from.Incarnation, n) {
		return
	}
	l.newest[from.Host] = newest{from.Incarnation, n.Sequence, n.Part}
	if n.Domain != 0 && n.Domain != l.domain {
		l.ledger.heardOf(now, n.Domain)
	}
	for _, c := range n.Counts {
		l.ledger.record(now, origin{from, n.Epoch, n.Domain}, c)
	}
	l.applyLevels(now, n.Levels)
}

func (l *Limiter) applyLevels(now time.Time, levels []Level) {
	for _, level := range levels {
		if a := l.byRef[level.Account]; a != nil {
			a.level, a.levelAt = level, now
		}
	}
}

// Report returns the counts that the hub of this host has not been told, or nil. A host that is its
// own hub calls Settle instead. The second result, if not nil, is for the hubs of all domains: sums of counts that others
// have sent to this host, having taken it for their hub.
func (l *Limiter) Report(now time.Time, hub uint32) (own, sums *News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums = l.sums(now)
	l.setHub(now, hub)
	if counts := l.untold(now); len(counts) > 0 {
		own = l.numbered(News{Counts: counts, Epoch: l.epoch})
	}
	return own, sums
}

func (l *Limiter) sums(now time.Time) *News {
	sums, due := l.ledger.sums(now)
	if !due {
		return nil
	}
	return l.numbered(News{Counts: sums, Domain: l.domain, Epoch: l.ledger.epoch})
}

func (l *Limiter) numbered(n News) *News {
	l.sequence++
	n.Sequence = l.sequence
	return &n
}

// setHub records to which host the counts of this one go from now on. The caller holds l.mu.
func (l *Limiter) setHub(now time.Time, hub uint32) {
	if l.hub == hub {
		return
	}
	l.hub = hub
	l.epoch++
	for _, a := range l.accounts {
		if a.recall(now) {
			l.changed[a] = true
		}
	}
}

// untold returns the changed counts. Others are repeated some times if there are changed ones
// or their account is near its limit.
func (l *Limiter) untold(now time.Time) []Count {
	if !l.worthTelling(now) {
		return nil
	}
	var counts []Count
	for a := range l.changed {
		if c, ok := a.untold(now); ok {
			counts = append(counts, c)
		}
		if a.repeats == 0 {
			delete(l.changed, a)
		}
	}
	return counts
}

func (l *Limiter) worthTelling(now time.Time) bool {
	for a := range l.changed {
		if _, near := a.levelInForce(now); near || a.count != a.told {
			return true
		}
	}
	return false
}

// Settle sums the counts as the hub of a failure domain, and returns the news for the hubs of
// the other domains and for the hosts of this one, which are nil if nothing is due. Of the known hosts, heard is the part that
// this hub, or a hub that it hears, has heard of lately.
func (l *Limiter) Settle(now time.Time, self Source, heard float64) (hubs, hosts *News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hub != self.Host {
		l.setHub(now, self.Host)
		if now.Sub(l.ledger.heard) > gapTime {
			l.ledger = newLedger(l.settings.Slack)
			l.ledger.epoch = l.epoch
			l.setTotals(now)
		}
	}
	l.ledger.setReach(min(1, heard*(1+reachOvershoot*l.settings.Overshoot)))
	for _, c := range l.untold(now) {
		l.ledger.record(now, origin{self, l.epoch, 0}, c)
	}
	hubs = l.sums(now)
	if levels := l.ledger.levels(now); len(levels) > 0 {
		l.applyLevels(now, levels)
		hosts = l.numbered(News{Levels: levels})
	}
	return hubs, hosts
}

// Hears reports whether the hub of another failure domain has told its sums of late.
func (l *Limiter) Hears(now time.Time, domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.ledger.domains[RefOf(domain)]
	return at != nil && now.Sub(*at) <= goneAfter
}

// Near reports whether an account is near its limit, so that hosts report more often.
func (l *Limiter) Near(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := range l.changed {
		if _, near := a.levelInForce(now); near {
			return true
		}
	}
	return false
}

// ReportInterval returns the time between reports to the hub of a failure domain with a number
// of hosts.
func ReportInterval(near bool, hosts int) time.Duration {
	interval := calmReportInterval
	if near {
		interval = nearReportInterval
	}
	return max(interval, time.Duration(hosts)*reportSpacing)
}
