package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/request"
)

// writeAnswer writes the events after the given position of a request that is
// registered on this instance.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, entry *request.Entry, after uint64, stream bool) *problem {
	reader, err := entry.Subscribe(after)
	if err != nil {
		return attachProblem(entry.Spec().ID.String(), err)
	}
	openEarlier := func() (source, error) { return entry.Subscribe(max(after, 1) - 1) }
	return s.writeAnswerFrom(ctx, reader, openEarlier, answerMetadataOf(entry.Spec()), stream)
}

func answerMetadataOf(spec *request.Spec) answerMetadata {
	metadata := answerMetadata{id: spec.ID.String(), created: spec.Received.Unix()}
	if spec.Completion != nil {
		metadata.model = spec.Completion.Model
	}
	return metadata
}

// opener opens a source, which the caller must close.
type opener func() (source, error)

// writeAnswerFrom writes an answer from a source and closes the source.
// openEarlier opens the same events from one position earlier.
func (s *Server) writeAnswerFrom(ctx *fasthttp.RequestCtx, src source, openEarlier opener, metadata answerMetadata, stream bool) *problem {
	ctx.Response.Header.Set("X-Request-Id", metadata.id)
	if stream {
		return s.writeStream(ctx, src, openEarlier, metadata)
	}
	defer src.Close()
	return s.writeWhole(ctx, src, metadata)
}

// writeStream starts a streamed answer. A failure without an earlier event, before
// the header is sent, is answered with its own status; other failures are sent in
// the stream, as an error event or as movedComment.
func (s *Server) writeStream(ctx *fasthttp.RequestCtx, src source, openEarlier opener, metadata answerMetadata) *problem {
	body := &eventStream{
		source: src, encoder: newChunkEncoder(metadata), conn: ctx.Conn(),
		writeTimeout: s.cfg.WriteTimeout, keepAliveInterval: s.cfg.KeepAliveInterval, keepAliveTimer: time.NewTimer(s.cfg.HeaderDelay),
	}
	events, err := awaitEvents(src, body.events[:0], body.keepAliveTimer.C)
	if p := firstProblem(metadata.id, events, err); p != nil {
		_ = body.Close()
		return p
	}
	if len(events) == 0 && err != nil {
		_ = body.Close()
		return s.answerAfterLastEvent(ctx, openEarlier, metadata)
	}
	for _, event := range events {
		body.out = body.encoder.append(body.out, event)
	}
	if len(body.out) == 0 {
		// fasthttp sends the header together with the first part of the body.
		body.out = append(body.out, keepAliveComment...)
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.SetBodyStream(body, -1)
	return nil
}

// awaitEvents waits for the next events. It returns neither events nor an error
// if the timer fires first.
func awaitEvents(src source, buffer []request.Event, timer <-chan time.Time) ([]request.Event, error) {
	for {
		events, err := src.Next(buffer)
		if len(events) > 0 || err != nil {
			return events, err
		}
		select {
		case <-src.Ready():
		case <-timer:
			return nil, nil
		}
	}
}

// answerAfterLastEvent answers a caller that re-attached after the last event of a
// request. It reads that event again to tell a complete answer from a failure or an
// invalid position.
func (s *Server) answerAfterLastEvent(ctx *fasthttp.RequestCtx, openEarlier opener, metadata answerMetadata) *problem {
	src, err := openEarlier()
	if err != nil {
		return attachProblem(metadata.id, err)
	}
	defer src.Close()
	timer := time.NewTimer(s.cfg.ReadTimeout)
	defer timer.Stop()
	events, err := awaitEvents(src, make([]request.Event, 0, 1), timer.C)
	switch {
	case len(events) == 0 && err != nil && !isEnd(err):
		return attachProblem(metadata.id, err)
	case len(events) == 0 || events[0].Finish == nil:
		return &problem{
			Status: http.StatusBadRequest, Outcome: request.OutcomeUnknown, Step: "attach", RequestID: metadata.id,
			Detail: "Last-Event-ID is after the last event of the request",
		}
	case events[0].Finish.Failed():
		return failureProblem(metadata.id, events[0].Finish)
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.SetBodyString(doneMarker)
	return nil
}

// firstProblem returns the problem of a stream whose first event is a failure, or
// whose source failed before any event; otherwise nil.
func firstProblem(id string, events []request.Event, err error) *problem {
	if len(events) == 1 && events[0].Finish != nil && events[0].Finish.Failed() {
		return failureProblem(id, events[0].Finish)
	}
	if len(events) == 0 && err != nil && !isEnd(err) {
		return attachProblem(id, err)
	}
	return nil
}

// attachProblem returns the problem for an error of attaching to a request.
func attachProblem(id string, err error) *problem {
	p := &problem{Outcome: request.OutcomeUnknown, Step: "attach", RequestID: id}
	switch {
	case errors.Is(err, request.ErrMoved):
		p.Status = http.StatusSeeOther
		p.Detail = "another instance answers this request now"
		p.location = prefixRequests + id
	case errors.Is(err, request.ErrNotFound), errors.Is(err, request.ErrForbidden):
		// Both have the same answer, so that callers cannot probe for the ids of other teams.
		p.Status = http.StatusNotFound
		p.Detail = "no request of the team with this id is known"
	case errors.Is(err, request.ErrTooManyReaders):
		p.Status = http.StatusTooManyRequests
		p.Detail = "the request has too many readers"
		p.retryAfter = time.Second
	default:
		p.Status = http.StatusServiceUnavailable
		p.Detail = "the instance that has the request cannot be reached"
		p.retryAfter = time.Second
	}
	return p
}
