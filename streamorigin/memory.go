package streamorigin

import "time"

const (
	// MaxEntries is the number of streams that an instance remembers at most.
	MaxEntries = 1 << 16
	// MaxOrigins is the number of different origins of remembered streams. A stream with a further one is not remembered.
	MaxOrigins = 255
	// EntryBytes is the memory in bytes of one remembered stream, with what its tables keep free.
	EntryBytes = 72
)

// severalOrigins is the index of streams for which different origins were stated.
const severalOrigins = 0

// memory remembers the origins of streams, bounded in number.
type memory struct {
	// limit is the number of streams beyond which the oldest one is forgotten.
	limit int
	// origins holds the origins by index; severalOrigins has none. indexes is its inverse.
	origins []Origin
	indexes map[Origin]uint8
	records map[Key]record
	// queue holds the keys of records in the order of their first statement, from head on.
	queue []Key
	head  int
}

type record struct {
	// until is the end of the stream's lifetime in Unix nanoseconds of the decision clock.
	until  int64
	origin uint8
	// own is set if the stream began at this instance.
	own bool
}

func newMemory(limit int) *memory {
	return &memory{limit: limit, origins: make([]Origin, 1), indexes: make(map[Origin]uint8), records: make(map[Key]record)}
}

// add remembers a stream for at most Lifetime. It reports whether the stream was unknown and is remembered now.
func (m *memory) add(now time.Time, key Key, origin Origin, until time.Time, own bool) bool {
	m.expire(now)
	if latest := now.Add(Lifetime); until.After(latest) {
		until = latest
	}
	if !now.Before(until) {
		return false
	}
	index, ok := m.index(origin)
	if !ok {
		return false
	}
	known, ok := m.records[key]
	if ok && known.until > now.UnixNano() {
		if known.origin != index {
			index = severalOrigins
		}
		m.records[key] = record{until: max(known.until, until.UnixNano()), origin: index, own: known.own || own}
		return false
	}
	if !ok {
		if len(m.records) >= m.limit {
			m.pop()
		}
		m.queue = append(m.queue, key)
	}
	m.records[key] = record{until: until.UnixNano(), origin: index, own: own}
	return true
}

// find returns the origin of a stream. ambiguous is set if several were stated.
func (m *memory) find(now time.Time, key Key) (origin Origin, ok, ambiguous bool) {
	known, ok := m.records[key]
	if !ok || known.until <= now.UnixNano() {
		return Origin{}, false, false
	}
	return m.origins[known.origin], true, known.origin == severalOrigins
}

// entry returns what is shared of a stream, false if it is forgotten or its origin is ambiguous.
func (m *memory) entry(now time.Time, key Key) (Entry, bool) {
	known, ok := m.records[key]
	remaining := time.Duration(known.until - now.UnixNano())
	if !ok || remaining <= 0 || known.origin == severalOrigins {
		return Entry{}, false
	}
	return Entry{Key: key, Origin: m.origins[known.origin], Remaining: remaining}, true
}

// own returns the entries of the streams that began at this instance at a service that shared reports, the newest first.
func (m *memory) own(now time.Time, shared func(service string) bool) []Entry {
	var entries []Entry
	for n := len(m.queue) - 1; n >= m.head; n-- {
		if !m.records[m.queue[n]].own {
			continue
		}
		if entry, ok := m.entry(now, m.queue[n]); ok && shared(entry.Origin.Service) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// expire forgets the oldest streams whose lifetime has ended.
func (m *memory) expire(now time.Time) {
	for m.head < len(m.queue) && m.records[m.queue[m.head]].until <= now.UnixNano() {
		m.pop()
	}
}

// pop forgets the oldest stream.
func (m *memory) pop() {
	delete(m.records, m.queue[m.head])
	m.head++
	if 2*m.head >= len(m.queue) {
		m.queue = append(m.queue[:0], m.queue[m.head:]...)
		m.head = 0
	}
}

// index returns the index of an origin. If there are too many, those of no remembered stream are dropped first.
func (m *memory) index(origin Origin) (uint8, bool) {
	if index, ok := m.indexes[origin]; ok {
		return index, true
	}
	if len(m.origins) > MaxOrigins {
		m.dropUnused()
	}
	if len(m.origins) > MaxOrigins {
		return 0, false
	}
	index := uint8(len(m.origins))
	m.origins = append(m.origins, origin)
	m.indexes[origin] = index
	return index, true
}

func (m *memory) dropUnused() {
	origins, indexes, moved := make([]Origin, 1), make(map[Origin]uint8), make(map[uint8]uint8)
	moved[severalOrigins] = severalOrigins
	for key, known := range m.records {
		index, ok := moved[known.origin]
		if !ok {
			index = uint8(len(origins))
			moved[known.origin] = index
			origins = append(origins, m.origins[known.origin])
			indexes[m.origins[known.origin]] = index
		}
		known.origin = index
		m.records[key] = known
	}
	m.origins, m.indexes = origins, indexes
}
