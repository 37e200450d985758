package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"knapweedhoist/request"
)

// eventBatchSize is the largest number of events read from a source at a time.
const eventBatchSize = 16

// keepAliveComment is sent on an idle stream, so that the caller sees that the
// connection still works.
const keepAliveComment = ": keep-alive\n\n"

// movedComment ends a stream whose request moved to another instance, or whose home
// instance cannot be reached. It asks the caller to re-attach after 100 ms.
const movedComment = "retry: 100\n: moved, re-attach with Last-Event-ID\n\n"

// eventStream is the body of a streamed answer. fasthttp reads it in the
// goroutine of the connection and flushes after each Read.
type eventStream struct {
	source  source
	encoder *chunkEncoder
	conn    net.Conn
	// writeTimeout bounds the write of each part. Read renews the write deadline of conn, since the
	// whole answer may take longer.
	writeTimeout time.Duration
	// keepAliveTimer fires when a keep-alive comment is due. Before the header is sent, writeStream
	// uses it to wait for Config.HeaderDelay.
	keepAliveTimer    *time.Timer
	keepAliveInterval time.Duration
	events            [eventBatchSize]request.Event
	// out holds encoded bytes, of which the first offset bytes have been read.
	out    []byte
	offset int
	done   bool
}

// Read implements io.Reader. It blocks until there is an event, a keep-alive
// comment or the end of the stream.
func (s *eventStream) Read(p []byte) (int, error) {
	for s.offset == len(s.out) {
		if s.done {
			return 0, io.EOF
		}
		s.out, s.offset = s.out[:0], 0
		s.fill(cap(p))
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return 0, err
	}
	n := copy(p, s.out[s.offset:])
	s.offset += n
	return n, nil
}

// fill encodes available events until out holds at least size bytes. Without any
// event it waits for the source or the keep-alive timer.
func (s *eventStream) fill(size int) {
	for len(s.out) < size {
		events, err := s.source.Next(s.events[:0])
		for _, event := range events {
			s.out = s.encoder.append(s.out, event)
		}
		if err != nil {
			s.appendEnd(err)
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

// appendEnd marks the stream as done and encodes what follows the last event.
func (s *eventStream) appendEnd(err error) {
	s.done = true
	switch {
	case isEnd(err):
	case errors.Is(err, request.ErrMoved), attachProblem("", err).Status == http.StatusServiceUnavailable:
		s.out = append(s.out, movedComment...)
	default:
		// Re-attaching would fail again, for example because the request is unknown.
		s.out = append(s.out, "event: error\ndata: "...)
		s.out = append(s.out, attachProblem(s.encoder.metadata.id, err).encode()...)
		s.out = append(s.out, "\n\n"...)
	}
}

// maxIdleBuffer is the largest buffer, in bytes, that a stream keeps while it waits.
const maxIdleBuffer = 1024

// wait blocks until the source is ready or the keep-alive interval has passed. In
// the second case it encodes a keep-alive comment.
func (s *eventStream) wait() {
	if cap(s.out) > maxIdleBuffer {
		s.out = nil
	}
	s.keepAliveTimer.Reset(s.keepAliveInterval)
	select {
	case <-s.source.Ready():
	case <-s.keepAliveTimer.C:
		s.out = append(s.out, keepAliveComment...)
	}
}

// Close implements io.Closer. It does not cancel the request.
func (s *eventStream) Close() error {
	s.keepAliveTimer.Stop()
	s.source.Close()
	return nil
}
