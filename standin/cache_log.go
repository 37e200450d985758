package standin

import (
	"time"

	"knapweedhoist/engine"
)

// maxCacheEvents is the number of newest cache events that an engine always
// retains, and the maximum number that one call returns.
const maxCacheEvents = 4096

// cacheLog stores cache events by time, so that they can be reported with a
// delay. It is not safe for concurrent use.
type cacheLog struct {
	sequence uint64
	events   []stampedEvent
}

type stampedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// add assigns the next sequence number to an event and stores it. A lost event
// is not stored, which leaves a gap in the sequence numbers.
func (l *cacheLog) add(now time.Time, event engine.CacheEvent, lost bool) {
	l.sequence++
	if lost {
		return
	}
	event.Sequence = l.sequence
	l.events = append(l.events, stampedEvent{at: now, event: event})
	if len(l.events) > 2*maxCacheEvents {
		l.events = append([]stampedEvent(nil), l.events[maxCacheEvents:]...)
	}
}

// after returns the events with a sequence number above from that were added no
// later than until, at most maxCacheEvents.
func (l *cacheLog) after(from uint64, until time.Time) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, stamped := range l.events {
		if stamped.at.After(until) || len(events) == maxCacheEvents {
			break
		}
		if stamped.event.Sequence > from {
			events = append(events, stamped.event)
		}
	}
	return events
}
