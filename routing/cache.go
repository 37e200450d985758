package routing

import "sync"

// cacheIndex remembers which endpoints hold which prompt prefixes. It is
// bounded: cacheShards times cacheEntries entries of about 150 bytes with the map (10 MiB).
type cacheIndex struct {
	shards [cacheShards]cacheShard
}

const (
	cacheShards  = 64
	cacheEntries = 1024
	// cacheHolders bounds the endpoints remembered for a prefix.
	cacheHolders = 4
)

type cacheShard struct {
	mu      sync.RWMutex // guards the fields below
	entries map[uint64]*cacheEntry
	ring    []uint64 // insertion order; the oldest entry is replaced
	next    int
}

type cacheEntry struct {
	holders [cacheHolders]holder
}

// holder is an endpoint that holds a prefix.
type holder struct {
	state  *state
	tokens int
	epoch  uint32
}

// cacheCursor follows the sequence numbers of an endpoint's cache events.
type cacheCursor struct {
	mu   sync.Mutex // guards last
	last uint64
}

// advance reports whether the event is new and whether events before it are missing.
func (c *cacheCursor) advance(sequence uint64) (fresh, gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence <= c.last {
		return false, false
	}
	gap = c.last != 0 && sequence > c.last+1
	c.last = sequence
	return true, gap
}

func (x *cacheIndex) shard(hash uint64) *cacheShard {
	return &x.shards[mix(hash)%cacheShards]
}

// add records that the endpoint holds the prefix.
func (x *cacheIndex) add(p Prefix, s *state) {
	shard := x.shard(p.Hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.entry(p.Hash)
	entry.put(holder{state: s, tokens: p.Tokens, epoch: s.cacheEpoch.Load()})
}

// entry returns the prefix's entry, and replaces the oldest one when the shard is full.
func (c *cacheShard) entry(hash uint64) *cacheEntry {
	if e := c.entries[hash]; e != nil {
		return e
	}
	if c.entries == nil {
		c.entries = make(map[uint64]*cacheEntry)
	}
	e := &cacheEntry{}
	if len(c.ring) < cacheEntries {
		c.ring = append(c.ring, hash)
	} else {
		delete(c.entries, c.ring[c.next])
		c.ring[c.next] = hash
		c.next = (c.next + 1) % cacheEntries
	}
	c.entries[hash] = e
	return e
}

// put makes h the most recent holder and forgets the oldest one.
func (e *cacheEntry) put(h holder) {
	i := 0
	for i < cacheHolders-1 && e.holders[i].state != h.state {
		i++
	}
	copy(e.holders[1:i+1], e.holders[:i])
	e.holders[0] = h
}

// remove forgets that the endpoint holds the prefix.
func (x *cacheIndex) remove(hash uint64, s *state) {
	shard := x.shard(hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e := shard.entries[hash]
	if e == nil {
		return
	}
	for i := range e.holders {
		if e.holders[i].state == s {
			copy(e.holders[i:], e.holders[i+1:])
			e.holders[cacheHolders-1] = holder{}
			return
		}
	}
}

// holders returns the endpoints that hold the longest known prefix.
func (x *cacheIndex) holders(prefixes []Prefix) [cacheHolders]holder {
	for _, p := range prefixes[:min(len(prefixes), MaxPrefixes)] {
		shard := x.shard(p.Hash)
		shard.mu.RLock()
		e := shard.entries[p.Hash]
		if e != nil && e.holders[0].state != nil {
			found := e.holders
			shard.mu.RUnlock()
			return found
		}
		shard.mu.RUnlock()
	}
	return [cacheHolders]holder{}
}

// credit returns the tokens that are expected in the endpoint's cache. After a
// gap in the events an eviction may have been missed, so older entries count half.
func (h holder) credit() int {
	if h.epoch != h.state.cacheEpoch.Load() {
		return h.tokens / 2
	}
	return h.tokens
}
