package htgroup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// readers is the number of hosts that read the store at a time. It is low because each call
// to the store is billed. A reader that is cut off without notice is replaced within
// ReaderTimeout plus the delay by rank and one check of the roles, which is below the bound
// of 2 s on the distribution of changes.
const readers = 1

const (
	// stagger is the difference between the delays with which two hosts of successive ranks
	// start reading. A response of the store and its announcement to the other hosts take
	// about 10 ms.
	stagger = 40 * time.Millisecond
	// maxStagger bounds the delay of the last hosts in rank (rank 0 is the first). The hosts
	// whose delay it limits wait equally long and would start reading at the same time. This
	// is rare: even if the store refuses most hosts, one of the first ten, whose delays are
	// shorter, is served in 97 of 100 cases.
	maxStagger = time.Second
)

// hubKey is the rendezvous key by which hubs are ranked.
var hubKey = xxhash.Sum64String("hub")

// weight returns the rendezvous weight of a host for a key.
func weight(host, key uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(host >> (8 * i))
		b[8+i] = byte(key >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// RankAll returns the rank of this host for a key among all known hosts, including those
// that are not running; 0 is the first. The rank does not change when hosts fail, so a role
// that is limited to a number of hosts is never held by more of them.
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

// ReadsStore reports whether this host is to read the store, that is, whether it is among
// the first hosts in rank that the store serves. It also returns the rank of this host, by
// which hosts of later ranks retry less often. Hosts of the highest capacity come first,
// because the other hosts get the rows from the reader.
func (g *Group) ReadsStore(now time.Time) (reads bool, rank int) {
	self := g.peers[g.self.Address]
	var better []*peer
	for _, p := range g.running(now) {
		if p != self && p.betterReader(self) {
			better = append(better, p)
		}
	}
	// Hosts of later ranks wait longer, so that not all of them start reading at the same
	// time.
	delay := min(time.Duration(max(0, len(better)-readers+1))*stagger, maxStagger)
	served := 0
	for _, p := range better {
		if now.Sub(later(p.lastStoreResponse, g.start)) < ReaderTimeout+delay && !p.lastStoreResponse.IsZero() {
			served++
		}
	}
	if served == 0 && now.Sub(g.start) < delay {
		return false, len(better)
	}
	return served < readers, len(better)
}

// readerKey is the rendezvous key by which readers of the store are ranked.
var readerKey = xxhash.Sum64String("store-reader")

// betterReader reports whether p ranks before o as a reader of the store.
func (p *peer) betterReader(o *peer) bool {
	if p.Capacity != o.Capacity {
		return p.Capacity > o.Capacity
	}
	return weight(p.hash, readerKey) > weight(o.hash, readerKey)
}
