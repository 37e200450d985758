package forward

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"knapweedhoist/dispatch"
	"knapweedhoist/internal/contain"
)

const (
	// takeoverPauses is the number of pause objectives without an event after which a resumable stream is also requested
	// from another endpoint.
	takeoverPauses = 3
	// takeoverLimit is how long both endpoints may work on the request; the platform allows 400 ms. Then the other endpoint
	// has not rejected the request, so that it is queued or in progress there, and the silent one is aborted.
	takeoverLimit = 300 * time.Millisecond
)

// errSilent is the reason for a takeover.
var errSilent = errors.New("no event from the endpoint")

// takeover is an attempt to continue a silent stream at another endpoint while the silent one is still read. The other
// endpoint goes on, and the silent one is aborted, if its first event comes first, or if it has neither rejected the request
// nor failed after takeoverLimit. Otherwise the stream stays where it is. A stream thus never ends only because its endpoint
// is silent.
type takeover struct {
	// exchange is a copy of the stream's exchange, which only the takeover uses until done is closed.
	exchange *exchange
	done     chan struct{}
	// state is guarded by eventStream.mu until done is closed.
	state takeoverState
	// answer is the other endpoint's stream, failed the reason why there is none.
	answer *endpointAnswer
	failed *failure
}

// takeoverState is the state of a takeover. It changes at most once.
type takeoverState uint8

const (
	// takeoverOpen: neither endpoint has gone on.
	takeoverOpen takeoverState = iota
	// takeoverWon: the other endpoint goes on.
	takeoverWon
	// takeoverCancelled: the silent endpoint went on first.
	takeoverCancelled
	// takeoverFailed: the attempt failed while the silent endpoint was silent.
	takeoverFailed
)

// fork returns a copy of e for one attempt beside the current one.
func (e *exchange) fork() *exchange {
	forked := *e
	forked.context, forked.cancel = context.WithCancel(e.context)
	forked.tried = maps.Clone(e.tried)
	forked.buffer = nil
	return &forked
}

// takeoverAfter returns how long a stream may be silent before it is requested elsewhere, 0 if it cannot be continued.
func (e *exchange) takeoverAfter() time.Duration {
	if !e.route.Resumable || e.lastEventID == "" {
		return 0
	}
	return takeoverPauses * e.route.PauseObjective
}

// beginRead starts the timer of a takeover.
func (s *eventStream) beginRead() {
	after := s.exchange.takeoverAfter()
	if after <= 0 {
		return
	}
	s.mu.Lock()
	s.readingSince = time.Now()
	s.mu.Unlock()
	if s.silence == nil {
		s.silence = time.AfterFunc(after, s.takeOver)
		return
	}
	s.silence.Reset(after)
}

// endRead stops the timer and returns the takeover that has won, or nil. If the current endpoint has answered, a takeover
// in progress is cancelled, otherwise its end is awaited.
func (s *eventStream) endRead(answered bool) *takeover {
	if s.silence == nil {
		return nil
	}
	s.silence.Stop()
	s.mu.Lock()
	s.readingSince = time.Time{}
	t := s.takeover
	s.takeover = nil
	if t != nil && answered && t.state == takeoverOpen {
		t.state = takeoverCancelled
		t.exchange.cancel()
	}
	s.mu.Unlock()
	if t == nil {
		return nil
	}
	<-t.done
	e := s.exchange
	e.sends, e.tried = t.exchange.sends, t.exchange.tried
	if t.state != takeoverWon {
		return nil
	}
	return t
}

// takeOver requests the rest of the stream from another endpoint. The timer calls it in its own goroutine.
func (s *eventStream) takeOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The timer of an earlier read may call late, when the next read has begun.
	if s.readingSince.IsZero() || time.Since(s.readingSince) < s.exchange.takeoverAfter() || s.takeover != nil {
		return
	}
	t := &takeover{exchange: s.exchange.fork(), done: make(chan struct{})}
	s.takeover = t
	go func() {
		defer close(t.done)
		if err := contain.Run(s.exchange.server.deps.Log, "take over stream", func() { s.runTakeover(t) }); err != nil {
			t.failed = &failure{cause: causeBroken, err: err}
			if t.exchange.inFlight != s.exchange.inFlight {
				t.exchange.inFlight.Done(time.Now(), dispatch.Failed)
			}
		}
		if t.failed != nil || t.state != takeoverWon {
			t.exchange.cancel()
			t.exchange.releaseBuffer()
		}
	}()
}

// runTakeover makes the attempt of t.
func (s *eventStream) runTakeover(t *takeover) {
	e := t.exchange
	if !e.allowRetry(&failure{cause: causeBroken, err: errSilent}) {
		t.failed = &failure{cause: causeNoEndpoint, err: errNoRetry}
		s.logStay(t)
		return
	}
	var limit *time.Timer
	e.onSent = func() { limit = time.AfterFunc(takeoverLimit, func() { s.win(t) }) }
	t.answer, t.failed = e.attempt()
	e.returnRetry()
	if limit != nil {
		limit.Stop()
	}
	e.onSent = nil
	if t.failed == nil && t.answer.stream == nil {
		t.failed = &failure{cause: causeBroken, err: errUnexpectedAnswer}
	}
	switch {
	case t.failed != nil:
		s.giveUp(t)
		s.logStay(t)
	case !s.win(t):
		t.answer.stream.answer.Abort()
		e.inFlight.Done(time.Now(), dispatch.Served)
		s.logStay(t)
	}
}

// errNoRetry is the reason why a stream stays at its endpoint if the request may not be sent again.
var errNoRetry = errors.New("no attempt, retry budget or time left")

// win makes the current endpoint's read fail, unless that endpoint has answered meanwhile.
func (s *eventStream) win(t *takeover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state == takeoverOpen {
		t.state = takeoverWon
		s.answer.SetReadDeadline(time.Unix(1, 0))
	}
	return t.state == takeoverWon
}

// giveUp keeps the timer of a failed attempt from aborting the silent endpoint.
func (s *eventStream) giveUp(t *takeover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state == takeoverOpen {
		t.state = takeoverFailed
	}
}

// logStay logs why a silent stream stays at its endpoint.
func (s *eventStream) logStay(t *takeover) {
	s.mu.Lock()
	state := t.state
	s.mu.Unlock()
	if state == takeoverWon {
		return // the failure is that of the stream
	}
	e, reason := t.exchange, "the endpoint went on first"
	if state != takeoverCancelled {
		reason = t.failed.Error()
	}
	e.server.deps.Log.Info("silent stream not moved", "id", e.request.ID, "after_event", e.lastEventID, "sends", e.sends,
		"silent_ms", time.Since(e.lastEventAt).Milliseconds(), "reason", reason)
}

// adopt ends the send to the silent endpoint and continues the stream with the result of t.
func (s *eventStream) adopt(t *takeover) {
	e, other := s.exchange, t.exchange
	s.answer.Abort()
	e.inFlight.Done(time.Now(), dispatch.TimedOut)
	e.silentEndpoint = e.inFlight.Endpoint.ID
	e.mayHaveRun = true
	if t.failed != nil {
		e.inFlight = other.inFlight
		s.continueAfter(t.failed)
		return
	}
	after, silent := e.lastEventID, other.lastEventAt.Sub(e.lastEventAt)
	e.inFlight, e.lastEventID, e.lastEventAt = other.inFlight, other.lastEventID, other.lastEventAt
	e.firstEventAt, e.progressed = other.firstEventAt, other.progressed
	s.answer, s.reader, s.pending = t.answer.stream.answer, t.answer.stream.reader, t.answer.stream.pending
	e.releaseBuffer()
	e.buffer = other.buffer
	e.server.deps.Metrics.Resumed.Inc(1)
	e.server.deps.Log.Info("stream resumed", "id", e.request.ID, "endpoint", e.inFlight.Endpoint.ID,
		"software", e.inFlight.Endpoint.SoftwareVersion, "after_event", after, "reason", fmt.Sprintf("%v for %v", errSilent, silent.Round(time.Millisecond)))
}
