package htcatalog

import (
	"crypto/sha256"
	"fmt"

	"hawthornturn/core/htfinding"
)

// Account is a client account. Callers name it by one of its keys.
type Account struct {
	// Name identifies the account to upstreams. It is empty if the account can't be used; its
	// keys are then refused.
	Name string
	Keys []KeyDigest
	// Priority goes before that of the route, unless it is nil. 0 is the most urgent.
	Priority *int
	Limit    UsageLimit
}

// KeyDigest is the SHA-256 digest of a key. Keys are kept in no other form.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// UsageLimit bounds the requests of an account, summed over all hosts: in any window at most
// PerSecond times its length plus Burst. A zero PerSecond means that there is no bound.
type UsageLimit struct {
	PerSecond float64
	Burst     float64
}

// accountIndex finds the account of a key. A key that is declared but names no account maps to
// nil.
type accountIndex map[KeyDigest]*Account

// newAccountIndex returns the index of the accounts, and what it leaves out. Of accounts with the
// same name, only the first can be used. A key that two accounts hold, usable or not, names none
// of them: it can't be told whose requests it carries.
func newAccountIndex(accounts []Account) (accountIndex, htfinding.List) {
	var found htfinding.List
	total := 0
	for i := range accounts {
		total += len(accounts[i].Keys)
	}
	index := make(accountIndex, total)
	holders := make(map[KeyDigest]int32, total) // the first account that holds a key
	names := make(map[string]bool, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		place := fmt.Sprintf("accounts[%d]", i)
		usable := false
		switch {
		case a.Name == "":
			found.Addf(place, "the account can't be used; its keys are refused")
		case names[a.Name]:
			found.Addf(place, "account %q is declared twice; the keys of the second declaration are refused", a.Name)
		default:
			usable = true
		}
		names[a.Name] = true
		twice, shared := 0, 0
		for _, key := range a.Keys {
			holder, held := holders[key]
			switch {
			case !held:
				holders[key] = int32(i)
				index[key] = nil
				if usable {
					index[key] = a
				}
			case holder == int32(i):
				twice++
			default:
				shared++
				index[key] = nil
			}
		}
		if twice > 0 {
			found.Addf(place, "%d keys of account %q are listed twice", twice, a.Name)
		}
		if shared > 0 {
			found.Addf(place, "%d keys of account %q belong to another account too and are refused", shared, a.Name)
		}
	}
	return index, found
}

// Account returns the account that holds a key, or nil.
func (c *Catalog) Account(key KeyDigest) *Account { return c.accounts[key] }

// Authorize returns the account of a request for a route, and whether the route may be used. Key
// is nil if the request has none that can be read. A public route needs no key, but a request
// with the key of an account counts for that account there too.
func (c *Catalog) Authorize(route *Route, key *KeyDigest) (*Account, bool) {
	if c.Config == nil || !c.Config.KeysRequired {
		return nil, true
	}
	var account *Account
	if key != nil {
		account = c.Account(*key)
	}
	return account, account != nil || route.Public
}
