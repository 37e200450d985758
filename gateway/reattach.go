package gateway

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/request"
)

// reattach serves GET /v1/requests/{id}. With Last-Event-ID, or when the
// caller accepts server-sent events, the answer is streamed from that position;
// otherwise it is written whole.
func (s *Server) reattach(ctx *fasthttp.RequestCtx, text string) *problem {
	if !ctx.IsGet() {
		ctx.Response.Header.Set("Allow", "GET")
		return notRun(http.StatusMethodNotAllowed, "route", "only GET is allowed")
	}
	team, p := s.authenticate(&ctx.Request.Header)
	if p != nil {
		return p
	}
	id, err := request.ParseID(text)
	if err != nil {
		return &problem{
			Status: http.StatusBadRequest, Outcome: request.OutcomeUnknown, Step: "parse",
			Detail: "the request id is not valid",
		}
	}
	after, stream, p := position(&ctx.Request.Header)
	if p != nil {
		p.RequestID = text
		return p
	}
	entry, err := s.deps.Registry.Find(id, team.Name)
	switch {
	case err == nil:
		return s.answer(ctx, entry, after, stream)
	case errors.Is(err, request.ErrForbidden):
		return attachProblem(text, err)
	}
	from := newRemoteSource(s.deps.Remote, id, team.Name, after)
	before := func() (source, error) { return newRemoteSource(s.deps.Remote, id, team.Name, max(after, 1)-1), nil }
	return s.answerFrom(ctx, from, before, identity{id: text, created: time.Now().Unix()}, stream)
}

// position reads Last-Event-ID and whether the answer is to be streamed.
func position(header *fasthttp.RequestHeader) (after uint64, stream bool, p *problem) {
	value := header.Peek("Last-Event-ID")
	if len(value) == 0 {
		return 0, bytes.Contains(header.Peek("Accept"), []byte("text/event-stream")), nil
	}
	after, err := parseEventID(string(value))
	if err != nil {
		return 0, false, &problem{
			Status: http.StatusBadRequest, Outcome: request.OutcomeUnknown, Step: "parse",
			Detail: "Last-Event-ID is not valid",
		}
	}
	return after, true, nil
}

// maxEventID bounds Last-Event-ID, so that the position after it is a valid id.
const maxEventID = 1 << 40

var errEventID = errors.New("gateway: invalid event id")

// parseEventID reads the decimal id of an event; 0 is the position before the first one.
func parseEventID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id > maxEventID || strconv.FormatUint(id, 10) != text {
		return 0, errEventID
	}
	return id, nil
}
