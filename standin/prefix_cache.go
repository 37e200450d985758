package standin

import (
	"container/list"

	"knapweedhoist/engine"
)

// prefixCache is an LRU cache of prompt prefixes whose capacity is in tokens.
// It is not safe for concurrent use.
type prefixCache struct {
	capacity int
	tokens   int
	order    *list.List // of cachedPrefix, most recently used first
	entries  map[uint64]*list.Element
	// publish is called for each insertion and eviction.
	publish func(prefix engine.Prefix, evicted bool)
}

// cachedPrefix is a prefix and the number of tokens by which it extends the next shorter prefix of its prompt.
type cachedPrefix struct {
	prefix      engine.Prefix
	addedTokens int
}

func newPrefixCache(capacity int, publish func(engine.Prefix, bool)) *prefixCache {
	return &prefixCache{
		capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element), publish: publish,
	}
}

// lookup returns the length in tokens of the longest prefix that is cached together with all shorter ones.
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

// insert adds the prefixes of a prompt and evicts entries above the capacity.
func (c *prefixCache) insert(prefixes []engine.Prefix) {
	previousTokens := 0
	for _, prefix := range prefixes {
		c.add(prefix, prefix.Tokens-previousTokens)
		previousTokens = prefix.Tokens
	}
	for c.tokens > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) add(prefix engine.Prefix, addedTokens int) {
	if element, ok := c.entries[prefix.Hash]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.entries[prefix.Hash] = c.order.PushFront(cachedPrefix{prefix: prefix, addedTokens: addedTokens})
	c.tokens += addedTokens
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
