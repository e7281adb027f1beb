package htfair

import (
	"slices"
	"time"

	"hawthornturn/core/htcatalog"
)

// pictureTimeout is the age from which the demand of a host or a failure domain no longer counts.
const pictureTimeout = 400 * time.Millisecond

// Picture is the demand by service. Services for which no call waits are left out.
type Picture map[htcatalog.Ref][]Demand

// add adds the demands of another picture.
func (p Picture) add(o Picture) {
	for service, demands := range o {
		p[service] = Add(p[service], demands)
	}
}

// Waiting returns the seconds of work of the calls that wait for a service although they are below the
// line.
func (p Picture) Waiting(service htcatalog.Ref) float64 {
	n := 0.0
	for _, d := range p[service] {
		n += d.Waiting
	}
	return n
}

// KeepLargest lists at most that many accounts of each class by themselves.
func (p Picture) KeepLargest(most int) {
	for _, demands := range p {
		for i := range demands {
			demands[i].keepLargest(most)
		}
	}
}

// DropQuietest removes the service for which the least work waits.
func (p Picture) DropQuietest() {
	var quietest htcatalog.Ref
	least := -1.0
	for service := range p {
		if n := p.Waiting(service); least < 0 || n < least || n == least && service < quietest {
			quietest, least = service, n
		}
	}
	delete(p, quietest)
}

// Sender identifies the host that sent a picture.
type Sender uint32

// Gatherer adds up the pictures of hosts at the hub of a failure domain.
type Gatherer struct {
	hosts   map[Sender]sentPicture // of this failure domain
	domains map[Sender]sentPicture // of the others, by their hubs
}

type sentPicture struct {
	picture Picture
	at      time.Time // of its arrival
}

// NewGatherer returns a Gatherer without pictures.
func NewGatherer() *Gatherer {
	return &Gatherer{hosts: map[Sender]sentPicture{}, domains: map[Sender]sentPicture{}}
}

// SetHost sets the picture of a host of this failure domain.
func (g *Gatherer) SetHost(now time.Time, from Sender, p Picture) {
	g.hosts[from] = sentPicture{p, now}
}

// SetDomain sets the sum of another failure domain, as its hub sent it.
func (g *Gatherer) SetDomain(now time.Time, hub Sender, p Picture) {
	g.domains[hub] = sentPicture{p, now}
}

// Sums returns the demand on this failure domain and that on all, without old pictures.
func (g *Gatherer) Sums(now time.Time) (domain, all Picture) {
	domain, all = Picture{}, Picture{}
	for _, p := range recent(now, g.hosts) {
		domain.add(p)
	}
	all.add(domain)
	for _, p := range recent(now, g.domains) {
		all.add(p)
	}
	return domain, all
}

// recent removes the old pictures and returns the others, sorted by their senders, so that sums of
// the same pictures are equal on all hosts.
func recent(now time.Time, sent map[Sender]sentPicture) []Picture {
	var senders []Sender
	for from, s := range sent {
		if now.Sub(s.at) > pictureTimeout {
			delete(sent, from)
			continue
		}
		senders = append(senders, from)
	}
	slices.Sort(senders)
	pictures := make([]Picture, len(senders))
	for i, from := range senders {
		pictures[i] = sent[from].picture
	}
	return pictures
}
