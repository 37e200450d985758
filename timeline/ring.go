package timeline

import "sync"

// DefaultRingEvents is the capacity of a process's ring: at about 300 bytes an
// event it stays near 5 MB, 2% of the control budget of 256 MB.
const DefaultRingEvents = 16384

// Ring is a Recorder that keeps the last events of a process. It is safe for
// concurrent use.
type Ring struct {
	clock                *Clock
	instance, datacentre string

	mu     sync.Mutex // guards the fields below
	events []Event
	// next is the position of the next event; it wraps once the ring is full.
	next    int
	dropped uint64
}

// NewRing returns a ring of at most capacity events, or DefaultRingEvents when
// capacity is 0.
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

// Select returns the events that pass the filter, oldest first.
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

// Dropped returns how many events were overwritten.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
