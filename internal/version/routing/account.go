package routing

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of an API key. API keys are secrets of client accounts: a
// configuration holds only their digests, so that no dump, log line or message can leak a key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account. A request belongs to the account that its API key identifies.
type Account struct {
	Name     string
	Priority *int        // takes precedence over the priority of the route; 0 is the most urgent; nil: none
	Keys     []KeyDigest // digests of the account's API keys
}

// Rank returns the rank of the account's requests on a route. Requests with a lower rank are served
// first. Ranks are ordered by the account's priority and, within one account priority, by the route's
// priority, which is limited to 0 through routePriorities-1 for this comparison. If the account has no
// priority or is nil, the route's priority is used in place of the account's.
func (a *Account) Rank(route *Route) int {
	priority := route.Priority
	if a != nil && a.Priority != nil {
		priority = *a.Priority
	}
	return priority*routePriorities + min(max(route.Priority, 0), routePriorities-1)
}

// NameOrNone returns the account's name, or an empty string if the account is nil.
func (a *Account) NameOrNone() string {
	if a == nil {
		return ""
	}
	return a.Name
}

// routePriorities is the number of route priorities (0 through 999) that Rank distinguishes within one
// account priority.
const routePriorities = 1000

// indexAccountsByKey returns the accounts by the digests of their API keys. If several accounts have
// the same key, it belongs to the last of them. The result is nil if there are no accounts, which
// means that callers need no API key.
func indexAccountsByKey(accounts []Account) map[KeyDigest]*Account {
	if len(accounts) == 0 {
		return nil
	}
	byKey := make(map[KeyDigest]*Account)
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			byKey[key] = &accounts[i]
		}
	}
	return byKey
}

// NeedsKeys reports whether callers must send an API key, which identifies their account.
func (c *Config) NeedsKeys() bool { return c.accountByKey != nil }

// Account returns the account that the API key with this digest belongs to; ok is false if there is
// none.
func (c *Config) Account(key KeyDigest) (account *Account, ok bool) {
	account, ok = c.accountByKey[key]
	return account, ok
}
