package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"knapweedhoist/request"
)

// eventBatch is how many events a stream takes at a time.
const eventBatch = 16

// keepAliveComment shows the caller that the stream is alive.
const keepAliveComment = ": keep-alive\n\n"

// movedComment ends a stream whose request moved; the caller re-attaches.
const movedComment = "retry: 100\n: moved, re-attach with Last-Event-ID\n\n"

// eventStream is the body of a streamed answer. The HTTP library reads it in
// the connection's goroutine and flushes after each Read.
type eventStream struct {
	source  source
	encoder *chunkEncoder
	conn    net.Conn
	// writeTimeout is set anew for each part, since the answer as a whole may take long.
	writeTimeout time.Duration
	keepAlive    *time.Timer
	interval     time.Duration
	events       [eventBatch]request.Event
	// out holds encoded bytes that did not fit into the last Read.
	out  []byte
	from int
	done bool
}

// Read implements io.Reader. It waits for the next event.
func (s *eventStream) Read(p []byte) (int, error) {
	for s.from == len(s.out) {
		if s.done {
			return 0, io.EOF
		}
		s.out, s.from = s.out[:0], 0
		s.fill(cap(p))
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return 0, err
	}
	n := copy(p, s.out[s.from:])
	s.from += n
	return n, nil
}

// fill encodes available events, or waits when there are none.
func (s *eventStream) fill(room int) {
	for len(s.out) < room {
		events, err := s.source.Next(s.events[:0])
		for _, event := range events {
			s.out = s.encoder.append(s.out, event)
		}
		if err != nil {
			s.end(err)
			return
		}
		if len(events) == 0 {
			break
		}
	}
	if len(s.out) == 0 {
		s.wait()
	}
}

func (s *eventStream) end(err error) {
	s.done = true
	switch {
	case isEnd(err):
	case errors.Is(err, request.ErrMoved), attachProblem("", err).Status == http.StatusServiceUnavailable:
		s.out = append(s.out, movedComment...)
	default:
		// Re-attaching would not help, for example because the request is not known.
		s.out = append(s.out, "event: error\ndata: "...)
		s.out = append(s.out, attachProblem(s.encoder.identity.id, err).encode()...)
		s.out = append(s.out, "\n\n"...)
	}
}

// maxIdleBuffer is the largest buffer, in bytes, that a waiting stream keeps.
const maxIdleBuffer = 1024

func (s *eventStream) wait() {
	if cap(s.out) > maxIdleBuffer {
		s.out = nil
	}
	s.keepAlive.Reset(s.interval)
	select {
	case <-s.source.Ready():
	case <-s.keepAlive.C:
		s.out = append(s.out, keepAliveComment...)
	}
}

// Close implements io.Closer. The request itself goes on.
func (s *eventStream) Close() error {
	s.keepAlive.Stop()
	s.source.Close()
	return nil
}
