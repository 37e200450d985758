package bench

import (
	"container/list"

	"knapweedhoist/engine"
	"knapweedhoist/routing"
)

// prefixCache is a fake KV cache of prompt prefixes with a limit in tokens and least-recently-used eviction.
type prefixCache struct {
	limitTokens int
	usedTokens  int
	recency     *list.List
	entries     map[uint64]*list.Element
	sequence    uint64
	// pendingEvents are the cache events that have not been published yet.
	pendingEvents []engine.CacheEvent
}

func newPrefixCache(limitTokens int) *prefixCache {
	return &prefixCache{limitTokens: limitTokens, recency: list.New(), entries: make(map[uint64]*list.Element)}
}

// lookup returns the token count of the first cached prefix, 0 if none is cached. Prefixes are listed longest first.
func (c *prefixCache) lookup(prefixes []routing.Prefix) int {
	for _, p := range prefixes {
		if e := c.entries[p.Hash]; e != nil {
			c.recency.MoveToFront(e)
			return e.Value.(routing.Prefix).Tokens
		}
	}
	return 0
}

// insert caches the prefixes and evicts the least recently used ones while the cache exceeds its limit.
func (c *prefixCache) insert(prefixes []routing.Prefix) {
	for _, p := range prefixes {
		if e := c.entries[p.Hash]; e != nil {
			c.recency.MoveToFront(e)
			continue
		}
		c.entries[p.Hash] = c.recency.PushFront(p)
		c.usedTokens += p.Tokens
		c.addEvent(p, false)
	}
	for c.usedTokens > c.limitTokens && c.recency.Len() > 0 {
		p := c.recency.Remove(c.recency.Back()).(routing.Prefix)
		delete(c.entries, p.Hash)
		c.usedTokens -= p.Tokens
		c.addEvent(p, true)
	}
}

func (c *prefixCache) addEvent(p routing.Prefix, evicted bool) {
	c.sequence++
	c.pendingEvents = append(c.pendingEvents, engine.CacheEvent{Sequence: c.sequence, Prefix: p.Hash, Tokens: p.Tokens, Evicted: evicted})
}
