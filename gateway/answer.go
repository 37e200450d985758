package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/request"
)

// answer writes the answer of a local request.
func (s *Server) answer(ctx *fasthttp.RequestCtx, entry *request.Entry, after uint64, stream bool) *problem {
	reader, err := entry.Subscribe(after)
	if err != nil {
		return attachProblem(entry.Spec().ID.String(), err)
	}
	before := func() (source, error) { return entry.Subscribe(max(after, 1) - 1) }
	return s.answerFrom(ctx, reader, before, identityOf(entry.Spec()), stream)
}

func identityOf(spec *request.Spec) identity {
	who := identity{id: spec.ID.String(), created: spec.Received.Unix()}
	if spec.Completion != nil {
		who.model = spec.Completion.Model
	}
	return who
}

// opener opens a source.
type opener func() (source, error)

// answerFrom writes an answer from a source, which it closes. The opener before
// gives the same events from one position earlier.
func (s *Server) answerFrom(ctx *fasthttp.RequestCtx, from source, before opener, who identity, stream bool) *problem {
	ctx.Response.Header.Set("X-Request-Id", who.id)
	if stream {
		return s.stream(ctx, from, before, who)
	}
	defer from.Close()
	return s.whole(ctx, from, who)
}

// stream starts a streamed answer. A failure before the first event gets its
// own status; later ones become an event.
func (s *Server) stream(ctx *fasthttp.RequestCtx, from source, before opener, who identity) *problem {
	body := &eventStream{
		source: from, encoder: newChunkEncoder(who), conn: ctx.Conn(),
		writeTimeout: s.cfg.WriteTimeout, interval: s.cfg.KeepAlive, keepAlive: time.NewTimer(s.cfg.HeaderDelay),
	}
	events, err := awaitFirst(from, body.events[:0], body.keepAlive.C)
	if p := firstProblem(who.id, events, err); p != nil {
		_ = body.Close()
		return p
	}
	if len(events) == 0 && err != nil {
		_ = body.Close()
		return s.atEnd(ctx, before, who)
	}
	for _, event := range events {
		body.out = body.encoder.append(body.out, event)
	}
	if len(body.out) == 0 {
		body.out = append(body.out, keepAliveComment...)
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.SetBodyStream(body, -1)
	return nil
}

// awaitFirst waits for the first events, at most until the timer fires.
func awaitFirst(from source, buffer []request.Event, timer <-chan time.Time) ([]request.Event, error) {
	for {
		events, err := from.Next(buffer)
		if len(events) > 0 || err != nil {
			return events, err
		}
		select {
		case <-from.Ready():
		case <-timer:
			return nil, nil
		}
	}
}

// atEnd answers a caller that has the last event already, and lost only the end of its stream.
func (s *Server) atEnd(ctx *fasthttp.RequestCtx, before opener, who identity) *problem {
	from, err := before()
	if err != nil {
		return attachProblem(who.id, err)
	}
	defer from.Close()
	timer := time.NewTimer(s.cfg.ReadTimeout)
	defer timer.Stop()
	events, err := awaitFirst(from, make([]request.Event, 0, 1), timer.C)
	switch {
	case len(events) == 0 && err != nil && !isEnd(err):
		return attachProblem(who.id, err)
	case len(events) == 0 || events[0].Finish == nil:
		return &problem{
			Status: http.StatusBadRequest, Outcome: request.OutcomeUnknown, Step: "attach", RequestID: who.id,
			Detail: "Last-Event-ID is after the last event of the request",
		}
	case events[0].Finish.Failed():
		return failed(who.id, events[0].Finish)
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.SetBodyString(doneMarker)
	return nil
}

// firstProblem returns the problem of a stream that begins with its failure.
func firstProblem(id string, events []request.Event, err error) *problem {
	if len(events) == 1 && events[0].Finish != nil && events[0].Finish.Failed() {
		return failed(id, events[0].Finish)
	}
	if len(events) == 0 && err != nil && !isEnd(err) {
		return attachProblem(id, err)
	}
	return nil
}

// attachProblem maps an error of attaching to a request.
func attachProblem(id string, err error) *problem {
	p := &problem{Outcome: request.OutcomeUnknown, Step: "attach", RequestID: id}
	switch {
	case errors.Is(err, request.ErrMoved):
		p.Status = http.StatusSeeOther
		p.Detail = "another instance answers this request now"
		p.location = prefixRequests + id
	case errors.Is(err, request.ErrNotFound), errors.Is(err, request.ErrForbidden):
		// Both get the same answer, so that ids of other teams cannot be probed.
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
