package htusage

import "time"

const (
	// silentAfter is the age of the last news of another hub after which its failure domain is
	// taken to go on as before, and goneAfter that after which nothing is known of it. By then
	// the hosts in reach count without it.
	silentAfter = 300 * time.Millisecond
	goneAfter   = 1500 * time.Millisecond
)

// remote is the use of an account in another failure domain.
type remote struct {
	demand   rate
	admitted rate
	assumed  float64   // calls that were taken to be admitted since its hub is silent
	at       time.Time // until when
}

func (t *total) addRemote(now time.Time, domain Ref, asked, admitted float64) {
	r := t.remote[domain]
	if r == nil {
		r = &remote{demand: newRate(now, t.limit), admitted: newRate(now, t.limit)}
		t.remote[domain] = r
	}
	r.demand.add(now, asked)
	r.admitted.add(now, admitted)
	t.bucket.tokens += r.assumed
	r.assumed = 0
}

// heardOf records news of the hub of another failure domain.
func (l *ledger) heardOf(now time.Time, domain Ref) {
	if at := l.domains[domain]; at != nil {
		*at = now
		return
	}
	l.domains[domain] = &now
}

// demand returns the calls a second of an account. A domain whose hub is silent is taken to ask
// and admit as before, until it counts as out of reach.
func (l *ledger) demand(now time.Time, t *total) float64 {
	demand := t.demand.value(now)
	for domain, r := range t.remote {
		heard := *l.domains[domain]
		silent := now.Sub(heard)
		switch {
		case silent > goneAfter:
			delete(t.remote, domain)
		case silent > silentAfter:
			from := heard.Add(silentAfter)
			if r.at.After(from) {
				from = r.at
			}
			assumed := max(0, r.admitted.value(heard)) * now.Sub(from).Seconds()
			t.bucket.tokens -= assumed
			r.assumed += assumed
			r.at = now
			demand += r.demand.value(heard)
		default:
			demand += r.demand.value(now)
		}
	}
	return demand
}

// missing returns the part of the failure domains whose hubs are silent but not yet out of reach.
func (l *ledger) missing(now time.Time) float64 {
	known, silent := 1, 0
	for _, at := range l.domains {
		if age := now.Sub(*at); age <= goneAfter {
			known++
			if age > silentAfter {
				silent++
			}
		}
	}
	return float64(silent) / float64(known)
}
