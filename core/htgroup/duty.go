package htgroup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// readers is the number of hosts that read the store at a time. Each call is paid for. A
// reader that is cut off without notice is replaced within ReaderTimeout, the turns and a
// look at duties, which is below the bound of 2 s on changes.
const readers = 1

const (
	// stagger is the time between the turns of two hosts in rank to take up reading. An
	// answer of the store and its news to the others take about 10 ms.
	stagger = 40 * time.Millisecond
	// maxStagger bounds the last turn. Where the store refuses most hosts, it is 97 in 100
	// that one of the first ten is served.
	maxStagger = time.Second
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

// ReadsStore reports whether this host is to read the store: it is among the first hosts
// in rank that the store serves. It also returns the rank of this host, for retries that
// are less frequent for later ones. The most capable hosts come first, because the others
// get the rows from the reader.
func (g *Group) ReadsStore(now time.Time) (reads bool, rank int) {
	self := g.peers[g.self.Address]
	var better []*peer
	for _, p := range g.running(now) {
		if p != self && p.betterReader(self) {
			better = append(better, p)
		}
	}
	// Hosts later in rank wait a little longer, so that not all of them take up
	// reading at the same moment.
	turn := min(time.Duration(max(0, len(better)-readers+1))*stagger, maxStagger)
	served := 0
	for _, p := range better {
		if now.Sub(later(p.storeSeen, g.start)) < ReaderTimeout+turn && !p.storeSeen.IsZero() {
			served++
		}
	}
	if served == 0 && now.Sub(g.start) < turn {
		return false, len(better)
	}
	return served < readers, len(better)
}

// readerKey is the key by which readers of the store are ranked.
var readerKey = xxhash.Sum64String("store-reader")

// betterReader reports whether p is to read the store rather than o.
func (p *peer) betterReader(o *peer) bool {
	if p.Capacity != o.Capacity {
		return p.Capacity > o.Capacity
	}
	return weight(p.hash, readerKey) > weight(o.hash, readerKey)
}
