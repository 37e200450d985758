package peer

import (
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// stampCall returns a copy of call with the sender and a timestamp. It copies
// because one call may be sent to several peers concurrently.
func (c Config) stampCall(call *wire.Call) *wire.Call {
	stamped := &wire.Call{From: c.Incarnation, Body: call.GetBody()}
	if c.Clock != nil {
		stamp := c.Clock.Now()
		stamped.WallMs, stamped.Logical = stamp.WallMs, stamp.Logical
	}
	return stamped
}

// stampAnswer returns a copy of answer with a timestamp.
func (c Config) stampAnswer(answer *wire.Answer) *wire.Answer {
	stamped := &wire.Answer{Failure: answer.GetFailure(), Body: answer.GetBody()}
	if c.Clock != nil {
		stamp := c.Clock.Now()
		stamped.WallMs, stamped.Logical = stamp.WallMs, stamp.Logical
	}
	return stamped
}

// observe passes the timestamp of a received call or answer to the clock. wallMs is 0 if the sender has no clock.
func (c Config) observe(wallMs int64, logical uint32) {
	if c.Clock != nil && wallMs > 0 {
		c.Clock.Observe(timeline.Stamp{WallMs: wallMs, Logical: logical})
	}
}
