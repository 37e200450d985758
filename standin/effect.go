package standin

import (
	"context"
	"time"
)

// effect is the combined effect on one call of the faults that apply to it.
type effect struct {
	outage, refuse, lostReply, silence, breakStream, dropEvent bool
	delay, lag, writeDelay, retryAfter                         time.Duration
	afterTokens                                                int
}

func (e *effect) add(f Fault) {
	switch f.Kind {
	case FaultLostReply:
		e.lostReply = true
	case FaultLateWrite:
		e.writeDelay = f.Delay
	case FaultDelay:
		e.delay += f.Delay
	case FaultOutage:
		e.outage = true
	case FaultSilence:
		e.silence = true
		e.afterTokens = f.AfterTokens
	case FaultRefuse:
		e.refuse = true
		e.retryAfter = f.RetryAfter
	case FaultLag:
		e.lag += f.Delay
	case FaultGap:
		e.dropEvent = true
	case FaultBreak:
		e.breakStream = true
		e.afterTokens = f.AfterTokens
	}
}

// before applies the faults that take effect before the call. It returns nil if
// the call must run, otherwise unavailable or refused.
func (e effect) before(ctx context.Context, clock Clock, unavailable, refused error) error {
	if err := sleep(ctx, clock, e.delay); err != nil {
		return unavailable
	}
	switch {
	case e.silence && e.afterTokens == 0:
		silenceConn(ctx)
		return unavailable
	case e.outage:
		return unavailable
	case e.refuse:
		return refused
	default:
		return nil
	}
}

// after applies the faults that take effect after the call: for a lost reply it
// closes the connection and returns unavailable.
func (e effect) after(ctx context.Context, err, unavailable error) error {
	if !e.lostReply {
		return err
	}
	closeConn(ctx)
	return unavailable
}
