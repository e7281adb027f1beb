package htview

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// KeyPartitions is the number of partitions of the request keys. It is several times
// the number of entry hosts, so that the partitions of a lost host spread over the
// others.
const KeyPartitions = 64

// Member is one incarnation of an entry host. A restarted process has a new
// incarnation.
type Member struct {
	Host        string `json:"host" cbor:"host"`
	Incarnation string `json:"incarnation" cbor:"incarnation"`
	Address     string `json:"address" cbor:"address"` // IP:port of the HTTP/3 listener
	Domain      string `json:"failure-domain" cbor:"failure-domain"`
}

// View is one version of the membership. Each change increases Number by one.
type View struct {
	Number  uint64   `json:"number" cbor:"number"`
	Members []Member `json:"members" cbor:"members"` // sorted by host
}

// Find returns the member with the host name.
func (v View) Find(host string) (Member, bool) {
	for _, m := range v.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// With returns the next view with m added and any earlier incarnation of its host
// removed.
func (v View) With(m Member) View {
	next := v.Without(m.Host)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return next
}

// Without returns the next view with the host removed.
func (v View) Without(host string) View {
	next := View{Number: v.Number + 1}
	for _, m := range v.Members {
		if m.Host != host {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// Owner returns the member that owns the shard, or false if the view has no members.
// Members in the shard's failure domain are preferred, because the last hop to the
// upstream is then shortest and a network partition between failure domains leaves
// the owner and its upstreams on the same side.
func (v View) Owner(s Shard) (Member, bool) {
	var best Member
	var bestScore uint64
	bestLocal, found := false, false
	for _, m := range v.Members {
		local := s.Domain != "" && m.Domain == s.Domain
		if bestLocal && !local {
			continue
		}
		score := xxhash.Sum64String(s.String() + "|" + m.Host + "|" + m.Incarnation)
		if !found || (local && !bestLocal) || score > bestScore {
			best, bestScore, bestLocal, found = m, score, local, true
		}
	}
	return best, found
}

// Shard is a unit of ownership: the upstreams of one pool in one failure domain,
// or one partition of the request keys.
type Shard struct {
	Pool      string `json:"pool,omitempty" cbor:"pool,omitempty"`
	Domain    string `json:"failure-domain,omitempty" cbor:"failure-domain,omitempty"`
	Partition int    `json:"partition,omitempty" cbor:"partition,omitempty"`
}

// PoolShard returns the shard of a pool's upstreams in a failure domain.
func PoolShard(pool, domain string) Shard {
	return Shard{Pool: pool, Domain: domain}
}

// KeyShard returns the shard that keeps the record of a request key of a service.
func KeyShard(service, key string) Shard {
	return Shard{Partition: int(xxhash.Sum64String(service+"\x00"+key) % KeyPartitions)}
}

// IsPool reports whether the shard is a pool shard.
func (s Shard) IsPool() bool {
	return s.Pool != ""
}

// String returns pool/POOL/DOMAIN or keys/N.
func (s Shard) String() string {
	if s.IsPool() {
		return "pool/" + s.Pool + "/" + s.Domain
	}
	return "keys/" + strconv.Itoa(s.Partition)
}

// ParseShard parses the format of Shard.String.
func ParseShard(text string) (Shard, error) {
	parts := strings.Split(text, "/")
	switch {
	case len(parts) == 3 && parts[0] == "pool" && parts[1] != "" && parts[2] != "":
		return PoolShard(parts[1], parts[2]), nil
	case len(parts) == 2 && parts[0] == "keys":
		n, err := strconv.Atoi(parts[1])
		if err == nil && n >= 0 && n < KeyPartitions {
			return Shard{Partition: n}, nil
		}
	}
	return Shard{}, fmt.Errorf("%q is not a shard", text)
}
