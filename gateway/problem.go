package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/request"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Outcome   request.Outcome `json:"outcome"`
	Step      string          `json:"step"`
	RequestID string          `json:"request_id,omitempty"`

	retryAfter time.Duration
	location   string
}

// contentTypeProblem is the media type of problem documents.
const contentTypeProblem = "application/problem+json"

// notRunProblem returns the problem of a request that was not accepted.
func notRunProblem(status int, step, detail string) *problem {
	return &problem{Status: status, Detail: detail, Outcome: request.OutcomeNotRun, Step: step}
}

// failureProblem returns the problem of a request that ended in a failure.
func failureProblem(id string, finish *request.Finish) *problem {
	return &problem{
		Status: finish.Status, Detail: finish.Detail, Outcome: finish.Outcome, Step: finish.Step,
		RequestID: id, retryAfter: finish.RetryAfter,
	}
}

// encode sets Type and Title and returns the document as JSON.
func (p *problem) encode() []byte {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	body, err := json.Marshal(p)
	if err != nil {
		return []byte(`{"type":"about:blank","outcome":"unknown","step":"encode"}`)
	}
	return body
}

// write sets the status and body of the response of ctx from the problem. Header
// fields that are set already, for example Allow, are kept.
func (p *problem) write(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.Response.Header.SetContentType(contentTypeProblem)
	ctx.SetStatusCode(p.Status)
	if p.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", retryAfterSeconds(p.retryAfter))
	}
	if p.Status == http.StatusUnauthorized {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	if p.location != "" {
		ctx.Response.Header.Set("Location", p.location)
	}
	ctx.SetBody(p.encode())
}

// retryAfterSeconds returns d in whole seconds, rounded up because an earlier retry
// would be rejected again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
