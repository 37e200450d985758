package membership

import (
	"time"

	"knapweedhoist/wire"
)

// queuedLeave is a leave that the next heartbeats repeat.
type queuedLeave struct {
	id, incarnation, successor string
	// endsAt is when the instance ends, zero when unknown.
	endsAt time.Time
	// repeats is the number of heartbeats that still have to repeat the leave.
	repeats int
}

// leaveQueue holds the leaves that the next heartbeats repeat, in the order in which they are sent.
type leaveQueue []queuedLeave

// nextBatch returns the leaves of the next heartbeat, at most maxLeavesPerHeartbeat, and
// moves those with repetitions left to the end of the queue.
func (q *leaveQueue) nextBatch(now time.Time) []*wire.Leave {
	n := min(len(*q), maxLeavesPerHeartbeat)
	var leaves []*wire.Leave
	var remaining leaveQueue
	for _, l := range (*q)[:n] {
		leaves = append(leaves, l.message(now))
		l.repeats--
		if l.repeats > 0 {
			remaining = append(remaining, l)
		}
	}
	*q = append((*q)[n:len(*q):len(*q)], remaining...)
	return leaves
}

func (l queuedLeave) message(now time.Time) *wire.Leave {
	message := &wire.Leave{Id: l.id, Incarnation: l.incarnation, Successor: l.successor}
	if !l.endsAt.IsZero() {
		message.NoticeMs = max(1, l.endsAt.Sub(now).Milliseconds())
	}
	return message
}
