package htusage

import (
	"time"

	"hawthornturn/core/htcatalog"
)

const (
	// correctionTime is the time within which the share of admitted calls makes up for tokens
	// that are left or overdrawn.
	correctionTime = 500 * time.Millisecond
	// nearTokens is the part of the burst below which an account is near its limit, and
	// lookahead the time for which the demand is taken into account: hosts hear of it that late.
	nearTokens = 0.5
	lookahead  = 300 * time.Millisecond
	// nearHold is how long an account stays near after the last sign of it.
	nearHold = time.Second
	// nearDemand is the factor of the demand below which the calls a second to admit make an
	// account near its limit.
	nearDemand = 1.5
	// levelInterval is the time between levels and between the sums of an account near or above
	// its limit, and calmSumInterval that between the sums of another one.
	levelInterval   = 100 * time.Millisecond
	calmSumInterval = 200 * time.Millisecond
	// idleLevelInterval is the time between levels that admit all calls.
	idleLevelInterval = 500 * time.Millisecond
	// releaseTime is how long levels are told at levelInterval after the last one that admitted
	// only a share, since some may be lost.
	releaseTime = 350 * time.Millisecond
	// gapTime is the age of the last count of an origin above which only its newest calls are
	// added: the tokens of earlier ones have been refilled.
	gapTime = 3 * time.Second
	// generationTime is how long the counts of a source are remembered at least.
	generationTime = 30 * time.Second
)

// total is the use of an account on all hosts, as far as a hub has heard.
type total struct {
	limit   htcatalog.UsageLimit
	bucket  bucket
	demand  rate            // of the hosts of this failure domain
	remote  map[Ref]*remote // by failure domain
	own     Count           // of the failure domain
	told    Count           // own, when it was last told to the other hubs
	toldAt  time.Time
	near    time.Time // until when the account is near its limit
	shortAt time.Time // when a level that admits only a share of the calls was last told
	levelAt time.Time // when the last level was told
}

// ledger sums the use of accounts. Only the hub of a failure domain uses it.
type ledger struct {
	totals map[Ref]*total
	active map[Ref]*total // not at rest
	// counts and earlier hold the last counts by source, those of earlier being older.
	counts, earlier map[countKey]remembered
	rotated         time.Time
	epoch           uint32             // of the sums
	levelsAt        time.Time          // of the last levels
	sumsAt          time.Time          // of the last sums
	domains         map[Ref]*time.Time // when the hubs of the other failure domains were last heard
	heard           time.Time          // when the last count was recorded
	reach           float64            // part of the limits that the hosts in reach may use together
	slack           float64            // Settings.Slack
}

// origin is a series of counts.
type origin struct {
	source Source
	epoch  uint32
	domain Ref // whose sums they are, or 0
}

type countKey struct {
	origin  origin
	account Ref
}

// remembered is what the last count of an origin said.
type remembered struct {
	asked, admitted uint32
	at              time.Time
}

func newLedger(slack float64) *ledger {
	return &ledger{
		totals: map[Ref]*total{}, active: map[Ref]*total{},
		counts: map[countKey]remembered{}, earlier: map[countKey]remembered{}, domains: map[Ref]*time.Time{}, reach: 1, slack: slack,
	}
}

// added returns what a count adds to the last one of its origin.
func (l *ledger) added(now time.Time, from origin, c Count) (asked, admitted float64) {
	if now.Sub(l.rotated) > generationTime {
		l.earlier, l.counts, l.rotated = l.counts, map[countKey]remembered{}, now
	}
	key := countKey{from, c.Account}
	last, known := l.counts[key]
	if !known {
		last, known = l.earlier[key]
	}
	l.counts[key] = remembered{c.Asked, c.Admitted, now}
	more := int32(c.Asked - last.asked)
	if !known || more < 0 || now.Sub(last.at) > gapTime {
		return float64(c.NewAsked), float64(c.NewAdmitted)
	}
	return float64(more), float64(int32(c.Admitted - last.admitted))
}

// record adds a count. Only counts of hosts of this failure domain are added to its sums.
func (l *ledger) record(now time.Time, from origin, c Count) {
	t := l.totals[c.Account]
	if t == nil {
		return
	}
	asked, admitted := l.added(now, from, c)
	l.heard = now
	t.bucket.refill(now, l.within(t.limit))
	t.bucket.tokens -= admitted
	switch {
	case from.domain == 0:
		t.own.Asked += uint32(asked)
		t.own.Admitted += uint32(int32(admitted))
		t.demand.add(now, asked)
	case l.domains[from.domain] == nil: // another hub of this domain
		t.demand.add(now, asked)
	default:
		t.addRemote(now, from.domain, asked, admitted)
	}
	l.active[c.Account] = t
}

// setReach sets the part of the limits that the hosts in reach may use. A hub that was alone
// forgets the counts of the others from before.
func (l *ledger) setReach(reach float64) {
	if l.reach < mostHosts && reach >= mostHosts {
		l.counts, l.earlier = map[countKey]remembered{}, map[countKey]remembered{}
	}
	if reach < l.reach {
		for _, t := range l.totals {
			t.bucket.tokens *= reach / l.reach // the others hold, or owe, the rest
		}
	}
	l.reach = reach
}

// within returns the part of a limit that the hosts in reach may use. Hosts out of reach of each
// other may admit the slack together, so that a few of them can admit calls of small accounts.
func (l *ledger) within(limit htcatalog.UsageLimit) htcatalog.UsageLimit {
	if l.reach < 1 {
		limit.PerSecond *= l.reach
		limit.Burst = max(limit.Burst*l.reach, min(1, l.slack*l.reach))
	}
	return limit
}

// sums returns the sums of this failure domain that the other hubs have not been told, and
// whether they are due: while accounts are in use anywhere also without any, so that the others
// know that this hub hears them.
func (l *ledger) sums(now time.Time) (changed []Count, due bool) {
	for ref, t := range l.active {
		interval := levelInterval
		if now.After(t.near) && l.demand(now, t) < t.limit.PerSecond {
			interval = calmSumInterval
		}
		due = due || now.Sub(l.sumsAt) >= interval
		if t.own == t.told || now.Sub(t.toldAt) < interval {
			continue
		}
		c := t.own
		c.Account = ref
		c.NewAsked, c.NewAdmitted = c.Asked-t.told.Asked, int32(c.Admitted-t.told.Admitted)
		t.told, t.toldAt = t.own, now
		changed = append(changed, c)
	}
	if due = due || len(changed) > 0; due {
		l.sumsAt = now
	}
	return changed, due
}

// levels returns the levels that are due, and drops accounts at rest from the active ones.
// Levels of several accounts are told together.
func (l *ledger) levels(now time.Time) []Level {
	var levels []Level
	urgent, missing := false, l.missing(now)
	for ref, t := range l.active {
		limit := l.within(t.limit)
		t.bucket.refill(now, limit)
		demand := l.demand(now, t)
		// Domains whose hubs are silent may use their part of the tokens.
		t.bucket.tokens = min(t.bucket.tokens, limit.Burst*(1-missing))
		level := t.level(ref, limit, demand)
		if level.isNear(limit) {
			urgent = urgent || now.After(t.near)
			t.near = now.Add(nearHold)
		}
		switch {
		case now.Before(t.near):
			if t.levelDue(now, level) {
				levels = append(levels, level)
			}
		case t.own == t.told && t.bucket.tokens >= limit.Burst*(1-missing):
			delete(l.active, ref)
		}
	}
	if !urgent && now.Sub(l.levelsAt) < levelInterval {
		return nil
	}
	l.levelsAt = now
	for _, level := range levels {
		t := l.totals[level.Account]
		t.levelAt = now
		if level.short() {
			t.shortAt = now
		}
	}
	return levels
}

// levelDue reports whether a level is worth a message: it admits only a share of the calls, or
// one of late did, or hosts have had none of late.
func (t *total) levelDue(now time.Time, level Level) bool {
	return level.short() || now.Sub(t.shortAt) < releaseTime || now.Sub(t.levelAt) >= idleLevelInterval
}

// isNear reports whether tokens may run out before the hosts hear of it.
func (l Level) isNear(limit htcatalog.UsageLimit) bool {
	rising := max(float64(l.Demand)-limit.PerSecond, 0) * lookahead.Seconds()
	return float64(l.Tokens)-rising < nearTokens*limit.Burst && l.Admit < nearDemand*l.Demand
}

// level returns the calls a second to admit by which the tokens reach zero within
// correctionTime.
func (t *total) level(ref Ref, limit htcatalog.UsageLimit, demand float64) Level {
	admit := max(0, limit.PerSecond+t.bucket.tokens/correctionTime.Seconds())
	return Level{Account: ref, Admit: float32(admit), Demand: float32(demand), Tokens: float32(t.bucket.tokens)}
}
