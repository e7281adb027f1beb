package htgroup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// readers is the number of hosts that read the store at a time. Each call is paid for. A
// reader that is cut off without notice is replaced within StoreLimit, the turns and a
// look at duties, which is below the bound of 2 s on changes.
const readers = 1

const (
	// stagger is the time between the turns of two hosts in rank to take up reading. An
	// answer of the store and its news to the others take about 10 ms.
	stagger = 40 * time.Millisecond
	// maxStagger keeps the last turn within the bound on configuration.
	maxStagger = 350 * time.Millisecond
)

// hubKey is the key by which hubs are ranked.
var hubKey = xxhash.Sum64String("hub")

// weight is the rendezvous weight of a host for a key.
func weight(host, key uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(host >> (8 * i))
		b[8+i] = byte(key >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// RankAll returns the position of this host for a key among all hosts, also those that are
// not running; 0 is the first. It stays the same while hosts fail, so that a duty with a
// bound over all hosts is never held by more of them than the bound allows.
func (g *Group) RankAll(key uint64) int {
	self := g.peers[g.self.Address]
	own := weight(self.hash, key)
	rank := 0
	for _, p := range g.peers {
		if p != self && weight(p.hash, key) > own {
			rank++
		}
	}
	return rank
}

// Reads reports whether this host is to read the store: it is among the first hosts
// in rank that the store serves. If the store serves nobody, it returns the rank of
// this host among all, for a retry that is less frequent for later ones.
func (g *Group) Reads(now time.Time) (reads bool, rank int) {
	self := g.peers[g.self.Address]
	key := xxhash.Sum64String("store-reader")
	own := weight(self.hash, key)
	var better []*peer
	for _, p := range g.running(now) {
		if p != self && weight(p.hash, key) > own {
			better = append(better, p)
		}
	}
	// Hosts later in rank wait a little longer, so that not all of them take up
	// reading at the same moment.
	turn := min(time.Duration(max(0, len(better)-readers+1))*stagger, maxStagger)
	served := 0
	for _, p := range better {
		if now.Sub(later(p.storeSeen, g.start)) < StoreLimit+turn && !p.storeSeen.IsZero() {
			served++
		}
	}
	if served == 0 && now.Sub(g.start) < turn {
		return false, len(better)
	}
	return served < readers, len(better)
}
