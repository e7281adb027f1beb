package htview

import "sync"

// ownerCache caches the owners of shards in one view. Computing an owner hashes every
// member, which takes 9.8 µs for a pool shard and 89 µs for a key partition at 512
// members (docs/CAPACITY.md). Each call needs one or two owners.
type ownerCache struct {
	mu     sync.RWMutex
	number uint64
	owners map[Shard]Member
}

// owner returns the owner of s in v, or false if v has no members.
func (c *ownerCache) owner(v View, s Shard) (Member, bool) {
	c.mu.RLock()
	member, ok := c.owners[s]
	current := c.number == v.Number
	c.mu.RUnlock()
	if current && ok {
		return member, true
	}
	member, ok = v.Owner(s)
	if !ok {
		return Member{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.number != v.Number || c.owners == nil {
		c.number = v.Number
		c.owners = map[Shard]Member{}
	}
	c.owners[s] = member
	return member, true
}
