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

// serveReattach serves GET /v1/requests/{id}. With Last-Event-ID the answer is
// streamed from the event after it. Without it, the whole answer is streamed if the
// caller accepts server-sent events, otherwise written in one part.
func (s *Server) serveReattach(ctx *fasthttp.RequestCtx, idText string) *problem {
	if !ctx.IsGet() {
		ctx.Response.Header.Set("Allow", "GET")
		return notRunProblem(http.StatusMethodNotAllowed, "route", "only GET is allowed")
	}
	team, p := s.authenticate(&ctx.Request.Header)
	if p != nil {
		return p
	}
	id, err := request.ParseID(idText)
	if err != nil {
		return &problem{
			Status: http.StatusBadRequest, Outcome: request.OutcomeUnknown, Step: "parse",
			Detail: "the request id is not valid",
		}
	}
	after, stream, p := resumePosition(&ctx.Request.Header)
	if p != nil {
		p.RequestID = idText
		return p
	}
	entry, err := s.deps.Registry.Find(id, team.Name)
	switch {
	case err == nil:
		return s.writeAnswer(ctx, entry, after, stream)
	case errors.Is(err, request.ErrForbidden):
		return attachProblem(idText, err)
	}
	src := newRemoteSource(s.deps.Remote, id, team.Name, after)
	openEarlier := func() (source, error) { return newRemoteSource(s.deps.Remote, id, team.Name, max(after, 1)-1), nil }
	return s.writeAnswerFrom(ctx, src, openEarlier, answerMetadata{id: idText, created: time.Now().Unix()}, stream)
}

// resumePosition returns the value of Last-Event-ID, or 0 without the header, and
// whether the answer is to be streamed.
func resumePosition(header *fasthttp.RequestHeader) (after uint64, stream bool, p *problem) {
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

var errEventID = errors.New("gateway: invalid event id in Last-Event-ID")

// parseEventID parses the decimal id of an event; 0 is the position before the first
// event. Only the canonical text form is accepted.
func parseEventID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id > maxEventID || strconv.FormatUint(id, 10) != text {
		return 0, errEventID
	}
	return id, nil
}
