package forward

import (
	"errors"
	"io"
	"sync"
	"time"

	"knapweedhoist/dispatch"
	"knapweedhoist/internal/contain"
	"knapweedhoist/upstream"
)

// eventStream is the body of an answer that is a stream of server-sent events. It
// returns complete events only. When the endpoint's stream breaks, a resumable one
// continues at another endpoint after the last event if a retry is allowed. Otherwise
// it ends with an error, which closes the caller's connection before the end of the body.
// Silence of the endpoint does not end it, see takeover.
type eventStream struct {
	exchange *exchange
	answer   *upstream.Response
	reader   *eventReader
	// pending holds complete events that Read has not returned yet.
	pending []byte
	// err is what Read returns after pending: io.EOF, or the failure that ended the stream.
	err error

	// silence calls takeOver. It is nil until the first read during which the stream may be continued elsewhere.
	silence *time.Timer
	mu      sync.Mutex // guards the fields below and those of takeover that name it
	// readingSince is the time at which the current read began, zero between reads.
	readingSince time.Time
	// takeover is the attempt to continue the stream elsewhere during the current read, nil without one.
	takeover *takeover
}

// openStream waits for the first events, so that a request whose endpoint fails before them can still be sent again. A stream
// that ends without an event is complete only if it goes on after one: the end of the stream before it was lost.
func (e *exchange) openStream(answer *upstream.Response) (*endpointAnswer, *failure) {
	stream := &eventStream{exchange: e, answer: answer, reader: newEventReader(answer.Body, e.newBuffer(initialBufferBytes))}
	pending, err := stream.reader.next()
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		return nil, e.abortSend(answer, err)
	case e.lastEventID == "" && !e.request.Continues:
		return nil, e.abortSend(answer, io.ErrUnexpectedEOF)
	default:
		e.recordStart()
		return &endpointAnswer{header: &answer.Header, stream: stream}, nil // Read returns the end
	}
	e.recordOrigin()
	now := time.Now()
	e.inFlight.FirstToken(now)
	e.observeEvents(now)
	e.recordStart()
	stream.setPending(pending)
	return &endpointAnswer{header: &answer.Header, stream: stream}, nil
}

// setPending stores events for Read, and the last id among them for a resume.
func (s *eventStream) setPending(events []byte) {
	s.pending = events
	if id := lastEventID(events); id != "" {
		s.exchange.lastEventID = id
	}
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 && s.err == nil {
		if err := contain.Run(s.exchange.server.deps.Log, "read stream", s.readEvents); err != nil {
			s.answer.Abort()
			s.err = err
		}
	}
	if len(s.pending) == 0 {
		return 0, s.err
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// readEvents reads the next events, from another endpoint if the stream breaks or is silent and is resumable.
func (s *eventStream) readEvents() {
	s.beginRead()
	events, err := s.reader.next()
	next := s.endRead(err == nil || errors.Is(err, io.EOF))
	switch {
	case next != nil:
		s.adopt(next)
	case err == nil:
		s.exchange.observeEvents(time.Now())
		s.setPending(events)
	case errors.Is(err, io.EOF):
		s.endSend(dispatch.Served)
		if !s.exchange.firstEventAt.IsZero() {
			s.exchange.recordProgress()
		}
		s.err = io.EOF
	default:
		s.resume(err)
	}
}

// resume continues a broken stream at another endpoint. It sets s.err if the stream
// is not resumable or had no event id yet, a retry is not allowed or the next endpoint
// answers without a stream.
func (s *eventStream) resume(readErr error) {
	s.answer.Abort()
	s.continueAfter(s.exchange.endFailedSend(readErr))
}

// continueAfter continues the stream at another endpoint after a failed send, or sets s.err.
func (s *eventStream) continueAfter(failed *failure) {
	e := s.exchange
	for e.route.Resumable && e.lastEventID != "" && (e.allowRetry(failed) || e.allowReturn(failed)) {
		next, err := e.attempt()
		if err == nil && next.stream != nil {
			e.server.deps.Metrics.Resumed.Inc(1)
			e.server.deps.Log.Info("stream resumed", "id", e.request.ID, "endpoint", e.inFlight.Endpoint.ID,
				"software", e.inFlight.Endpoint.SoftwareVersion, "after_event", e.lastEventID, "reason", failed.Error())
			s.answer, s.reader, s.pending = next.stream.answer, next.stream.reader, next.stream.pending
			return
		}
		if err == nil {
			failed = &failure{cause: causeBroken, err: errUnexpectedAnswer}
			break
		}
		failed = err
	}
	s.err = failed
}

// endSend closes the endpoint's answer and ends the in-flight request.
func (s *eventStream) endSend(outcome dispatch.Outcome) {
	s.answer.Close()
	s.exchange.inFlight.Done(time.Now(), outcome)
}

// Close implements io.Closer. The server calls it after the body was written, or after writing it failed.
func (s *eventStream) Close() error {
	e := s.exchange
	switch {
	case errors.Is(s.err, io.EOF):
		e.logOutcome("stream served", 200, nil)
		e.server.deps.Metrics.Served.Inc(1)
	case s.err != nil:
		e.logOutcome("stream broken off", 200, s.err)
		e.server.deps.Metrics.Failed.Inc(1)
		e.countOriginFailure(s.err)
	default:
		s.answer.Abort()
		e.inFlight.Done(time.Now(), dispatch.Served)
		e.logOutcome("stream abandoned", 200, errCallerClosed)
		e.server.deps.Metrics.Abandoned.Inc(1)
	}
	e.release()
	return nil
}
