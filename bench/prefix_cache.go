package bench

import (
	"container/list"

	"knapweedhoist/engine"
	"knapweedhoist/routing"
)

// prefixCache is a fake KV cache of prompt prefixes, limited in tokens, least recently used out first.
type prefixCache struct {
	limit    int
	used     int
	order    *list.List
	entries  map[uint64]*list.Element
	sequence uint64
	// events are not yet published.
	events []engine.CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// lookup returns the tokens of the longest cached prefix.
func (c *prefixCache) lookup(prefixes []routing.Prefix) int {
	for _, p := range prefixes {
		if e := c.entries[p.Hash]; e != nil {
			c.order.MoveToFront(e)
			return e.Value.(routing.Prefix).Tokens
		}
	}
	return 0
}

// insert caches the prefixes and evicts others.
func (c *prefixCache) insert(prefixes []routing.Prefix) {
	for _, p := range prefixes {
		if e := c.entries[p.Hash]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[p.Hash] = c.order.PushFront(p)
		c.used += p.Tokens
		c.publish(p, false)
	}
	for c.used > c.limit && c.order.Len() > 0 {
		p := c.order.Remove(c.order.Back()).(routing.Prefix)
		delete(c.entries, p.Hash)
		c.used -= p.Tokens
		c.publish(p, true)
	}
}

func (c *prefixCache) publish(p routing.Prefix, evicted bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Prefix: p.Hash, Tokens: p.Tokens, Evicted: evicted})
}
