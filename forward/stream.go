package forward

import (
	"errors"
	"io"
	"time"

	"knapweedhoist/dispatch"
	"knapweedhoist/upstream"
)

// eventStream is the body of a stream's answer. Only whole events leave it. A
// resumable stream that breaks off goes on at another endpoint behind the last
// event; any other ends with an error, which closes the caller's connection
// without the end of the body.
type eventStream struct {
	exchange *exchange
	answer   *upstream.Response
	events   *eventReader
	// ready are whole events that the caller does not have yet.
	ready []byte
	err   error
}

// openStream waits for the first events, so that a request whose endpoint fails before them can still be repeated.
func (e *exchange) openStream(answer *upstream.Response) (*endpointAnswer, *failure) {
	stream := &eventStream{exchange: e, answer: answer, events: newEventReader(answer.Body)}
	ready, err := stream.events.next()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // a stream without any event is no answer
		}
		return nil, e.broken(answer, err)
	}
	e.flight.PrefillDone()
	e.begin()
	stream.take(ready)
	return &endpointAnswer{header: &answer.Header, events: stream}, nil
}

func (s *eventStream) take(events []byte) {
	s.ready = events
	if id := lastEventID(events); id != "" {
		s.exchange.lastEvent = id
	}
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.ready) == 0 && s.err == nil {
		s.advance()
	}
	if len(s.ready) == 0 {
		return 0, s.err
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// advance reads the next events, at another endpoint if need be.
func (s *eventStream) advance() {
	events, err := s.events.next()
	switch {
	case err == nil:
		s.take(events)
	case errors.Is(err, io.EOF):
		s.finish(dispatch.Served)
		s.err = io.EOF
	default:
		s.recover(err)
	}
}

// recover continues a broken stream, or gives it up.
func (s *eventStream) recover(cause error) {
	s.answer.Abort()
	e := s.exchange
	failed := e.sendFailed(cause)
	for e.route.Resumable && e.lastEvent != "" && e.mayRepeat(failed) {
		next, err := e.attempt()
		if err == nil && next.events != nil {
			e.server.deps.Metrics.Resumed.Inc(1)
			e.server.deps.Log.Info("stream resumed", "id", e.request.ID, "endpoint", e.flight.Endpoint.ID,
				"after_event", e.lastEvent, "reason", failed.Error())
			s.answer, s.events, s.ready = next.events.answer, next.events.events, next.events.ready
			return
		}
		if err == nil {
			failed = &failure{cause: causeBroken, err: errStatus}
			break
		}
		failed = err
	}
	s.err = failed
}

// finish ends the send at the endpoint.
func (s *eventStream) finish(outcome dispatch.Outcome) {
	s.answer.Close()
	s.exchange.flight.Done(time.Now(), outcome)
}

// Close implements io.Closer. The server calls it when the body was written or could not be.
func (s *eventStream) Close() error {
	e := s.exchange
	switch {
	case errors.Is(s.err, io.EOF):
		e.logEnd("stream served", 200, nil)
		e.server.deps.Metrics.Served.Inc(1)
	case s.err != nil:
		e.logEnd("stream broken off", 200, s.err)
		e.server.deps.Metrics.Failed.Inc(1)
	default:
		s.answer.Abort()
		e.flight.Done(time.Now(), dispatch.Served)
		e.logEnd("stream abandoned", 200, errCallerGone)
		e.server.deps.Metrics.Abandoned.Inc(1)
	}
	e.end()
	return nil
}
