package standin

import (
	"time"

	"knapweedhoist/engine"
)

// retainedCacheEvents is the number of newest cache events that an engine always
// retains, and the maximum number that one call returns.
const retainedCacheEvents = 4096

// cacheLog stores cache events by time, so that they can be reported with a
// delay. It is not safe for concurrent use.
type cacheLog struct {
	lastSequence uint64
	events       []stampedEvent
}

type stampedEvent struct {
	addedAt time.Time
	event   engine.CacheEvent
}

// add assigns the next sequence number to an event and stores it. A lost event
// is not stored, which leaves a gap in the sequence numbers.
func (l *cacheLog) add(now time.Time, event engine.CacheEvent, lost bool) {
	l.lastSequence++
	if lost {
		return
	}
	event.Sequence = l.lastSequence
	l.events = append(l.events, stampedEvent{addedAt: now, event: event})
	if len(l.events) > 2*retainedCacheEvents {
		l.events = append([]stampedEvent(nil), l.events[retainedCacheEvents:]...)
	}
}

// after returns the events with a sequence number above from that were added no
// later than until, at most retainedCacheEvents.
func (l *cacheLog) after(from uint64, until time.Time) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, stamped := range l.events {
		if stamped.addedAt.After(until) || len(events) == retainedCacheEvents {
			break
		}
		if stamped.event.Sequence > from {
			events = append(events, stamped.event)
		}
	}
	return events
}
