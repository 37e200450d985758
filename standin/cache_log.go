package standin

import (
	"time"

	"knapweedhoist/engine"
)

// maxCacheEvents bounds the cache events that an engine keeps.
const maxCacheEvents = 4096

// cacheLog publishes cache events late. Its owner serialises the calls.
type cacheLog struct {
	sequence uint64
	events   []stampedEvent
}

type stampedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// add numbers an event; a lost event only leaves a gap in the numbers.
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

// after returns the events after sequence number from that happened by the time until.
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
