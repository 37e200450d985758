package timeline

import "sync"

// DefaultRingEvents is the default capacity of a process's ring. At about 300
// bytes per event the ring takes about 5 MB, 2% of the memory budget of 256 MB
// for control data.
const DefaultRingEvents = 16384

// Ring is a Recorder that keeps the newest events of a process in a ring
// buffer. It is safe for concurrent use.
type Ring struct {
	clock                *Clock
	instance, datacentre string

	mu     sync.Mutex // guards the fields below
	events []Event
	// next is the index of the oldest event once the ring is full, which the next event overwrites.
	next    int
	dropped uint64
}

// NewRing returns a Ring that holds at most capacity events, or
// DefaultRingEvents if capacity is 0 or below.
func NewRing(clock *Clock, instance, datacentre string, capacity int) *Ring {
	if capacity <= 0 {
		capacity = DefaultRingEvents
	}
	return &Ring{clock: clock, instance: instance, datacentre: datacentre, events: make([]Event, 0, capacity)}
}

// Record implements Recorder. The stamp is taken under the lock, so that
// events are stored in the order of their stamps.
func (r *Ring) Record(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Stamp = r.clock.Now()
	event.Instance, event.Datacentre = r.instance, r.datacentre
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
	r.dropped++
}

// Select returns the events that match the filter, oldest first.
func (r *Ring) Select(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if filter.Match(event) {
			selected = append(selected, event)
		}
	}
	return filter.newest(selected)
}

// Dropped returns how many events have been overwritten since the ring was created.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
