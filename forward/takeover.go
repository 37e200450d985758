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
	// takeoverLimit is how long the other endpoint has for its first event. Both endpoints may work on the request for
	// that long, and the platform allows 400 ms.
	takeoverLimit = 300 * time.Millisecond
)

// errSilent is the reason for a takeover.
var errSilent = errors.New("no event from the endpoint")

// takeover is an attempt to continue a silent stream at another endpoint while the silent one is still read: the endpoint
// that delivers the next event goes on, and the other one is aborted. A stream thus never ends because its endpoint is
// silent.
type takeover struct {
	// exchange is a copy of the stream's exchange, which only the takeover uses until done is closed.
	exchange *exchange
	done     chan struct{}
	// cancelled and won are guarded by eventStream.mu. At most one of them is set.
	cancelled, won bool
	// answer is the other endpoint's stream if won is set.
	answer *endpointAnswer
}

// fork returns a copy of e for one attempt beside the current one.
func (e *exchange) fork() *exchange {
	forked := *e
	forked.context, forked.cancel = context.WithCancel(e.context)
	forked.tried = maps.Clone(e.tried)
	forked.answerBytes = 0
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
	if t != nil && answered && !t.won {
		t.cancelled = true
		t.exchange.cancel()
	}
	s.mu.Unlock()
	if t == nil {
		return nil
	}
	<-t.done
	e := s.exchange
	e.sends, e.tried = t.exchange.sends, t.exchange.tried
	e.answerBytes += t.exchange.answerBytes
	if !t.won {
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
		_ = contain.Run(s.exchange.server.deps.Log, "take over stream", func() { s.runTakeover(t) }) // logs a panic
		if !t.won {
			t.exchange.cancel()
		}
	}()
}

// runTakeover makes the attempt of t.
func (s *eventStream) runTakeover(t *takeover) {
	e := t.exchange
	if !e.allowRetry(&failure{cause: causeBroken, err: errSilent}) {
		s.logStay(t, "no attempt left")
		return
	}
	limit := time.AfterFunc(takeoverLimit, e.cancel)
	answer, failed := e.attempt()
	inTime := limit.Stop()
	switch {
	case failed != nil:
		s.logStay(t, failed.Error())
	case answer.stream == nil:
		s.logStay(t, errUnexpectedAnswer.Error())
	case !inTime || !s.win(t, answer):
		answer.stream.answer.Abort()
		e.inFlight.Done(time.Now(), dispatch.Served)
		s.logStay(t, "another event came first, or the time was over")
	}
}

// win makes the current endpoint's read fail, unless that endpoint has answered meanwhile.
func (s *eventStream) win(t *takeover, answer *endpointAnswer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.cancelled {
		return false
	}
	t.won, t.answer = true, answer
	s.answer.SetReadDeadline(time.Unix(1, 0))
	return true
}

// logStay logs why a silent stream stays at its endpoint.
func (s *eventStream) logStay(t *takeover, reason string) {
	e := t.exchange
	e.server.deps.Log.Info("silent stream not moved", "id", e.request.ID, "after_event", e.lastEventID, "sends", e.sends,
		"silent_ms", time.Since(e.lastEventAt).Milliseconds(), "reason", reason)
}

// adopt continues the stream with the answer of t, and ends the send to the silent endpoint.
func (s *eventStream) adopt(t *takeover) {
	e, other := s.exchange, t.exchange
	s.answer.Abort()
	e.inFlight.Done(time.Now(), dispatch.TimedOut)
	e.mayHaveRun = true
	after, silent := e.lastEventID, other.lastEventAt.Sub(e.lastEventAt)
	e.inFlight, e.lastEventID, e.lastEventAt = other.inFlight, other.lastEventID, other.lastEventAt
	e.firstEventAt, e.progressed = other.firstEventAt, other.progressed
	s.answer, s.reader, s.pending = t.answer.stream.answer, t.answer.stream.reader, t.answer.stream.pending
	e.server.deps.Metrics.Resumed.Inc(1)
	e.server.deps.Log.Info("stream resumed", "id", e.request.ID, "endpoint", e.inFlight.Endpoint.ID,
		"after_event", after, "reason", fmt.Sprintf("%v for %v", errSilent, silent.Round(time.Millisecond)))
}
