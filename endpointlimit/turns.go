package endpointlimit

import (
	"math"
	"time"
)

const (
	// usablePart is the part of a limit that is given out as turns. The rest covers differences between the instances' clocks and
	// lists of instances.
	usablePart = 0.95
	// lapseTime and lapseTurns give the time after which an unused turn lapses: lapseTime plus the time in which the limit
	// allows lapseTurns. An instance without a request at the start of its turn can so use it for the next one. Over any time T, at
	// most the turns that began in it or not longer before it than that are used.
	lapseTime  = time.Second
	lapseTurns = 2
	// minPerSecond is the least limit that is applied. Without any request, it would never become known that a limit of 0 has
	// ended.
	minPerSecond = 0.1
	// maxPerSecond bounds the limits that are applied, since shorter turns could not be told apart.
	maxPerSecond = 10_000
	// maxAhead bounds the time until the start of a turn that is taken.
	maxAhead = time.Minute
)

// turns is the sequence of one instance's turns at one process. Times are in seconds of the time of day.
type turns struct {
	// first is the start of one of the turns, interval the time between two, lapse that after which an unused one lapses.
	first, interval, lapse float64
}

// turnsOf returns the turns, at a process with a limit, of the instance at a position among n, see Share.position. The processes
// begin at different instances.
func turnsOf(n, position, process uint64, perSecond float32) turns {
	rate := usablePart * min(max(float64(perSecond), minPerSecond), maxPerSecond)
	return turns{
		first: float64((position+process)%n) / rate, interval: float64(n) / rate,
		lapse: lapseTime.Seconds() + lapseTurns*usablePart/rate,
	}
}

// next returns the start of the first turn that begins after the time taken and has not lapsed.
func (t turns) next(now, taken float64) float64 {
	after := max(taken, now-t.lapse)
	return t.first + (math.Floor((after-t.first)/t.interval)+1)*t.interval
}

// takenUntil returns a time after the start of a turn and before the next one, far enough from both for rounding.
func (t turns) takenUntil(start float64) float64 { return start + t.interval/4 }
