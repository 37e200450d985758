package standin

import (
	"container/list"

	"knapweedhoist/engine"
)

// prefixCache holds prompt prefixes, bounded in tokens; the least recently
// used one leaves first. Its owner serialises the calls.
type prefixCache struct {
	capacity int
	tokens     int
	order    *list.List // of cachedPrefix, most recently used first
	entries  map[uint64]*list.Element
	// publish is told of each change.
	publish func(prefix engine.Prefix, evicted bool)
}

// cachedPrefix is a prefix and the tokens that it adds to the one before it.
type cachedPrefix struct {
	prefix engine.Prefix
	addedTokens    int
}

func newPrefixCache(capacity int, publish func(engine.Prefix, bool)) *prefixCache {
	return &prefixCache{
		capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element), publish: publish,
	}
}

// lookup returns the length of the longest held prefix.
func (c *prefixCache) lookup(prefixes []engine.Prefix) int {
	tokens := 0
	for _, prefix := range prefixes {
		element, ok := c.entries[prefix.Hash]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		tokens = prefix.Tokens
	}
	return tokens
}

// insert adds the prefixes of a prompt.
func (c *prefixCache) insert(prefixes []engine.Prefix) {
	before := 0
	for _, prefix := range prefixes {
		c.add(prefix, prefix.Tokens-before)
		before = prefix.Tokens
	}
	for c.tokens > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) add(prefix engine.Prefix, own int) {
	if element, ok := c.entries[prefix.Hash]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.entries[prefix.Hash] = c.order.PushFront(cachedPrefix{prefix: prefix, addedTokens: own})
	c.tokens += own
	c.publish(prefix, false)
}

func (c *prefixCache) evict() {
	element := c.order.Back()
	cached, ok := c.order.Remove(element).(cachedPrefix)
	if !ok {
		return
	}
	delete(c.entries, cached.prefix.Hash)
	c.tokens -= cached.addedTokens
	c.publish(cached.prefix, true)
}
