package forward

import (
	"errors"
	"io"

	"knapweedhoist/upstream"
)

// passedOnStream is the body of a stream that another instance reads. That instance continues it at another endpoint if it
// breaks. If the other instance fails, the stream breaks off.
type passedOnStream struct {
	exchange *exchange
	answer   *upstream.Response
	err      error
}

// Read implements io.Reader.
func (s *passedOnStream) Read(p []byte) (int, error) {
	n, err := s.answer.Body.Read(p)
	s.err = err
	return n, err
}

// Close implements io.Closer. The server calls it after the body was written, or after writing it failed.
func (s *passedOnStream) Close() error {
	e := s.exchange
	switch {
	case errors.Is(s.err, io.EOF):
		s.answer.Close()
		e.logOutcome("stream served", s.answer.Header.StatusCode(), nil)
		e.server.deps.Metrics.Served.Inc(1)
	case s.err != nil:
		s.answer.Abort()
		e.logOutcome("stream broken off", s.answer.Header.StatusCode(), s.err)
		e.server.deps.Metrics.Failed.Inc(1)
	default:
		s.answer.Abort()
		e.logOutcome("stream abandoned", s.answer.Header.StatusCode(), errCallerClosed)
		e.server.deps.Metrics.Abandoned.Inc(1)
	}
	e.release()
	return nil
}
