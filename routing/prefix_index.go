package routing

import "sync"

// prefixIndex records which endpoints hold which prompt prefixes in their KV cache. It is bounded: prefixShards times
// entriesPerShard entries of about 150 bytes each including the map, 10 MiB in total.
type prefixIndex struct {
	shards [prefixShards]prefixShard
}

const (
	prefixShards    = 64
	entriesPerShard = 1024
	// holdersPerPrefix bounds the endpoints recorded for a prefix.
	holdersPerPrefix = 4
)

// prefixShard holds the entries of the prefixes whose hash maps to it.
type prefixShard struct {
	mu             sync.RWMutex // guards the fields below
	entries        map[uint64]*prefixEntry
	insertionOrder []uint64 // ring buffer of the entries' hashes; a full shard replaces its oldest entry
	oldest         int      // index of the oldest hash in a full insertionOrder
}

// prefixEntry holds the endpoints of one prefix, the most recent first.
type prefixEntry struct {
	holders [holdersPerPrefix]holder
}

// holder is an endpoint that holds a prefix. A nil state marks an unused element.
type holder struct {
	state  *endpointState
	tokens int
	epoch  uint32 // endpointState.cacheEpoch when the holder was recorded
}

// eventCursor tracks the sequence numbers of an endpoint's cache events.
type eventCursor struct {
	mu   sync.Mutex // guards last
	last uint64     // the highest sequence number received; 0 before the first event
}

// advance reports whether the event is newer than all received ones, and whether events before it were missed.
func (c *eventCursor) advance(sequence uint64) (isNew, missedEvents bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence <= c.last {
		return false, false
	}
	missedEvents = c.last != 0 && sequence > c.last+1
	c.last = sequence
	return true, missedEvents
}

func (x *prefixIndex) shard(hash uint64) *prefixShard {
	return &x.shards[mix(hash)%prefixShards]
}

// add records that the endpoint holds the prefix p.
func (x *prefixIndex) add(p Prefix, s *endpointState) {
	shard := x.shard(p.Hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.entryFor(p.Hash)
	entry.addHolder(holder{state: s, tokens: p.Tokens, epoch: s.cacheEpoch.Load()})
}

// entryFor returns the entry of the prefix and creates it if necessary; a full shard then drops its oldest entry. The
// caller holds s.mu.
func (s *prefixShard) entryFor(hash uint64) *prefixEntry {
	if e := s.entries[hash]; e != nil {
		return e
	}
	if s.entries == nil {
		s.entries = make(map[uint64]*prefixEntry)
	}
	e := &prefixEntry{}
	if len(s.insertionOrder) < entriesPerShard {
		s.insertionOrder = append(s.insertionOrder, hash)
	} else {
		delete(s.entries, s.insertionOrder[s.oldest])
		s.insertionOrder[s.oldest] = hash
		s.oldest = (s.oldest + 1) % entriesPerShard
	}
	s.entries[hash] = e
	return e
}

// addHolder makes h the most recent holder. A full entry drops its oldest holder, unless h replaces a holder with the
// same state.
func (e *prefixEntry) addHolder(h holder) {
	i := 0
	for i < holdersPerPrefix-1 && e.holders[i].state != h.state {
		i++
	}
	copy(e.holders[1:i+1], e.holders[:i])
	e.holders[0] = h
}

// remove deletes the endpoint from the holders of the prefix.
func (x *prefixIndex) remove(hash uint64, s *endpointState) {
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
			e.holders[holdersPerPrefix-1] = holder{}
			return
		}
	}
}

// holders returns the holders of the first of the prefixes that has any. The prefixes are ordered longest first.
func (x *prefixIndex) holders(prefixes []Prefix) [holdersPerPrefix]holder {
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
	return [holdersPerPrefix]holder{}
}

// cachedTokens returns the number of tokens expected in the endpoint's cache. A missed event may have been an
// eviction, so holders recorded before it count half.
func (h holder) cachedTokens() int {
	if h.epoch != h.state.cacheEpoch.Load() {
		return h.tokens / 2
	}
	return h.tokens
}
