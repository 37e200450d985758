package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
	"knapweedhoist/internal/boundedbuffer"
	"knapweedhoist/upstream"
)

// maxEndpointsTried is the number of endpoints after which a request is not retried if it could not be sent to the last
// of them. Retries after such a failure need their own bound: they count neither as sends nor against the retry budget.
const maxEndpointsTried = 4

// maxAnswerBytes bounds the body of an answer that is not a stream, which is buffered in memory.
const maxAnswerBytes = 16 << 20

// endpointAnswer is an endpoint's answer: a buffered body, or a stream whose first events have arrived.
type endpointAnswer struct {
	header *fasthttp.ResponseHeader
	body   []byte
	stream *eventStream // nil for a buffered answer
	// passedOn is the stream of another instance, nil if this instance has sent the request to an endpoint.
	passedOn *passedOnStream
}

// sendWithRetries sends the request to one endpoint after another until one
// answers or the request must not be sent again. The error is a *failure.
func (e *exchange) sendWithRetries() (*endpointAnswer, error) {
	if e.server.lostEndpoints() {
		if answer, passed, err := e.passOn("paths to endpoints lost"); passed {
			return answer, err
		}
	}
	if failed := e.findOrigin(); failed != nil {
		return nil, failed
	}
	e.server.deps.Budget.RecordRequest(e.server.deps.Now(), e.service.Name)
	if !e.awaitEvidence() {
		return nil, &failure{cause: causeCallerClosed, err: errCallerClosed}
	}
	for {
		answer, err := e.attempt()
		if err == nil {
			return answer, nil
		}
		if e.othersReach(err) {
			if answer, passed, err := e.passOn(err.Error()); passed {
				return answer, err
			}
		}
		if !e.allowRetry(err) {
			if answer != nil {
				return answer, nil
			}
			return nil, err
		}
		e.server.deps.Metrics.Repeated.Inc(1)
		e.server.deps.Log.Info("request repeated", "id", e.request.ID, "endpoint", e.inFlight.Endpoint.ID,
			"reason", err.Error(), "sends", e.sends, "fingerprint", e.keys.Key.String(), "parts", formatKeys(e.keys.Parts))
	}
}

// attempt sends the request to one endpoint. An answer returned together with a
// failure is passed on to the caller if the request is not sent again.
func (e *exchange) attempt() (*endpointAnswer, *failure) {
	if err := e.server.deps.Quarantine.Admit(e.server.deps.Now(), e.keys); err != nil {
		return nil, &failure{cause: causeQuarantined, err: err}
	}
	if err := e.chooseEndpoint(time.Now()); err != nil {
		if errors.Is(err, errVersionGone) {
			return nil, &failure{cause: causeVersionGone, err: err}
		}
		return nil, &failure{cause: causeNoEndpoint, err: err}
	}
	if failed := e.awaitRateLimit(); failed != nil {
		return nil, failed
	}
	answer, answerHeader, err := e.send(time.Now())
	if err != nil {
		return nil, e.endFailedSend(err)
	}
	return e.readAnswer(answer, answerHeader)
}

// chooseEndpoint chooses an endpoint that was not tried yet, or returnTo, and sets e.inFlight. A stream goes on only at the
// software version that began it.
func (e *exchange) chooseEndpoint(now time.Time) error {
	endpoints, err := e.candidates(e.server.deps.State.View().Endpoints)
	if err != nil {
		return err
	}
	if e.returnTo != "" {
		endpoints = onlyEndpoint(endpoints, e.returnTo)
		e.returnTo = ""
	}
	inFlight, err := e.server.deps.Balancer.Choose(now, dispatch.Query{
		Service: e.service, Endpoints: endpoints,
		Prompt: e.request.Prompt, Tokens: e.request.PromptTokens, Tried: e.tried,
		Objective: e.route.Objective, Remaining: e.deadline.Sub(now), Rank: e.route.Priority,
		Seed: dispatch.SeedOf(e.request.ID, len(e.tried)),
	})
	if err != nil {
		return err
	}
	e.inFlight = inFlight
	e.tried[inFlight.Endpoint.ID] = true
	return nil
}

// onlyEndpoint returns the endpoint with the ID, or none if it is not listed any more.
func onlyEndpoint(endpoints map[string]*deployment.Endpoint, id string) map[string]*deployment.Endpoint {
	endpoint := endpoints[id]
	if endpoint == nil {
		return nil
	}
	return map[string]*deployment.Endpoint{id: endpoint}
}

// send sends the request to the chosen endpoint and reads the header of its answer.
func (e *exchange) send(now time.Time) (*upstream.Response, AnswerHeader, error) {
	header := &fasthttp.RequestHeader{}
	e.server.deps.Codec.EncodeAttempt(header, e.header, Attempt{
		EndpointID: e.inFlight.Endpoint.ID, Team: e.teamName(), Remaining: e.deadline.Sub(now),
		LastEventID: e.lastEventID, Priority: e.priority(),
	})
	if len(e.body) > 0 || !header.IsGet() && !header.IsHead() {
		header.SetContentLength(len(e.body))
	}
	e.sends++
	e.firstEventAt, e.progressed = time.Time{}, false
	var answerHeader AnswerHeader // from the last header read, which is the answer's if there is an answer
	answer, err := e.server.deps.Pool.Do(e.context, upstream.Request{
		Target: upstream.Target{Address: e.inFlight.Endpoint.Address, ID: e.inFlight.Endpoint.ID},
		Header: header, Body: e.body, ID: e.request.ID,
		ResponseID: func(h *fasthttp.ResponseHeader) string {
			answerHeader = e.server.deps.Codec.DecodeAnswer(h)
			return answerHeader.RequestID
		},
		Deadline:  e.deadline,
		Sent:      e.onSent,
		IdleLimit: e.idleLimit(),
	})
	e.recordReach(err)
	if !errors.Is(err, upstream.ErrNotSent) {
		e.retryTakenAt = time.Time{}
	}
	if err != nil {
		return nil, AnswerHeader{}, err
	}
	e.observeAnswer(answer.Header.StatusCode(), answerHeader)
	return answer, answerHeader, nil
}

// idleLimit returns the number of idle connections that this instance keeps to an endpoint of the service.
func (e *exchange) idleLimit() int {
	return upstream.IdleLimit(e.service.MaxConnections, e.server.deps.Instances())
}

// priority returns the request's rank for the engine, first by the team's priority, then by the route's; -1 for services
// without an engine.
func (e *exchange) priority() int {
	if e.service.Engine == nil {
		return -1
	}
	teamPriority := 1
	if e.team != nil && e.team.Priority >= 0 {
		teamPriority = e.team.Priority
	}
	return min(teamPriority*routePriorities+min(e.route.Priority, routePriorities-1), lowestPriority)
}

const (
	// routePriorities is the number of distinct route priorities within one team priority.
	routePriorities = 3
	// lowestPriority is the lowest rank that engines accept; 0 is the highest.
	lowestPriority = 9
)

// endFailedSend ends the in-flight request of a send without a usable answer and classifies err.
func (e *exchange) endFailedSend(err error) *failure {
	now := time.Now()
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		e.sends--
		if e.context.Err() != nil && !e.server.cutting.Load() {
			e.inFlight.Done(now, dispatch.Served)
			return &failure{cause: causeCallerClosed, err: errCallerClosed}
		}
		e.inFlight.Done(now, dispatch.Failed)
		return &failure{cause: causeNotSent, err: err}
	case e.context.Err() != nil:
		e.inFlight.Done(now, dispatch.Served)
		e.mayHaveRun = true
		if e.server.cutting.Load() {
			return &failure{cause: causeStopping, err: err}
		}
		return &failure{cause: causeCallerClosed, err: errCallerClosed}
	case isTimeout(err):
		e.inFlight.Done(now, dispatch.TimedOut)
		e.mayHaveRun = true
		if e.remaining() > minAttemptTime {
			return &failure{cause: causeBroken, err: err} // a stream that stalled before the deadline
		}
		return &failure{cause: causeTimeout, err: err}
	default:
		e.inFlight.Done(now, dispatch.Failed)
		e.mayHaveRun = true
		e.recordOversized(err)
		e.investigateLoss(err)
		return &failure{cause: causeBroken, err: err}
	}
}

// isOversized reports whether err ended an answer with more bytes than its bound, or than there is memory for.
func isOversized(err error) bool {
	return errors.Is(err, upstream.ErrOversized) || errors.Is(err, boundedbuffer.ErrTooLarge) ||
		errors.Is(err, errEventTooLong) || errors.Is(err, boundedbuffer.ErrNoMemory)
}

// recordOversized logs and counts an answer that was given up because of its size.
func (e *exchange) recordOversized(err error) {
	if !isOversized(err) {
		return
	}
	e.server.deps.Metrics.Oversized.Inc(1)
	e.server.deps.Log.Warn("oversized answer given up", "step", "read answer", "id", e.request.ID,
		"endpoint", e.inFlight.Endpoint.ID, "peer", e.inFlight.Endpoint.Address, "reason", err.Error())
}

// isTimeout reports whether err is a timeout of the connection, of fasthttp or of the context.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, fasthttp.ErrTimeout) ||
		errors.Is(err, context.DeadlineExceeded)
}

var (
	errUnsigned         = errors.New("2xx answer without the endpoint's signature")
	errEncoded          = errors.New("answer body has a content encoding")
	errUnexpectedAnswer = errors.New("unexpected answer from the endpoint")
)

// readAnswer validates an answer and reads the first events of a stream, or the complete body of any other answer.
func (e *exchange) readAnswer(answer *upstream.Response, answerHeader AnswerHeader) (*endpointAnswer, *failure) {
	status := answer.Header.StatusCode()
	switch {
	case answerHeader.NotRun || status == fasthttp.StatusMisdirectedRequest:
		return nil, e.endRejectedSend(answer, status)
	case answerHeader.Encoded:
		return nil, e.abortSend(answer, errEncoded)
	case status < 300 && !answerHeader.Signed:
		return nil, e.abortSend(answer, errUnsigned)
	case impliesNotRun(status):
		return nil, e.abortSend(answer, statusError(status))
	case e.route.Kind == deployment.Stream && status < 300:
		return e.openStream(answer)
	}
	return e.readBuffered(answer, status)
}

// impliesNotRun reports whether callers read the status as a guarantee that the request did not run. An endpoint gives
// that guarantee only with AnswerHeader.NotRun; without it the request may have run, and the status must not be passed
// on.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// endRejectedSend ends a send that the endpoint rejected without running the request.
func (e *exchange) endRejectedSend(answer *upstream.Response, status int) *failure {
	if due := time.Now().Add(rejectionBodyTime); due.Before(e.deadline) {
		answer.SetReadDeadline(due)
	}
	discardBody(answer)
	answer.Close()
	e.inFlight.Done(time.Now(), dispatch.Shed)
	return &failure{cause: causeNotRun, err: statusError(status)}
}

// discardBody reads the short body of a rejection, so that the connection can be reused.
func discardBody(answer *upstream.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxRejectionBytes)); err != nil {
		answer.Abort()
	}
}

// rejectionBodyTime bounds how long the rest of a rejection is awaited in order to reuse the connection; the request waits.
const rejectionBodyTime = 100 * time.Millisecond

// maxRejectionBytes bounds how much of a rejection's body is read in order to reuse the connection.
const maxRejectionBytes = 64 << 10

// abortSend closes the connection of an answer that cannot be used and ends the send.
func (e *exchange) abortSend(answer *upstream.Response, err error) *failure {
	answer.Abort()
	return e.endFailedSend(err)
}

// readBuffered reads the complete body. An answer with a 5xx status is returned together with a failure.
func (e *exchange) readBuffered(answer *upstream.Response, status int) (*endpointAnswer, *failure) {
	body, err := e.newBuffer(bodyBufferBytes(answer)).ReadAll(answer.Body, maxAnswerBytes)
	if err != nil {
		return nil, e.abortSend(answer, err)
	}
	answer.Close()
	e.recordStart()
	if status < fasthttp.StatusBadRequest {
		e.recordProgress()
	}
	buffered := &endpointAnswer{header: &answer.Header, body: body}
	if status < 500 {
		e.inFlight.Done(time.Now(), dispatch.Served)
		return buffered, nil
	}
	e.inFlight.Done(time.Now(), dispatch.Failed)
	e.mayHaveRun = true
	return buffered, &failure{cause: causeBroken, err: statusError(status)}
}

// bodyBufferBytes returns the initial size of the buffer for a body. A byte more than the length is read to find the end.
func bodyBufferBytes(answer *upstream.Response) int {
	return min(max(answer.Header.ContentLength()+1, initialBufferBytes), boundedbuffer.FreeBytes)
}

// allowRetry reports whether the request is sent again after a failed attempt, and takes the retry from the budget
// unless the request did not reach the endpoint. What was taken for an attempt that sent nothing is given back.
func (e *exchange) allowRetry(failed *failure) bool {
	if e.mayRetry(failed) {
		return true
	}
	e.returnRetry()
	return false
}

func (e *exchange) mayRetry(failed *failure) bool {
	switch {
	case !e.canSend() || !e.repeatable(failed) || e.sends >= e.route.MaxAttempts:
		return false
	case failed.cause == causeNotSent:
		return len(e.tried) < maxEndpointsTried
	default:
		return e.takeRetry()
	}
}

// allowReturn reports whether a stream that may be sent to no other endpoint goes back to the one that was given up because it
// was silent, and takes the retry from the budget. That endpoint has not failed, and the route's attempts bound the number of
// endpoints.
func (e *exchange) allowReturn(failed *failure) bool {
	if e.silentEndpoint == "" || !e.canSend() || failed.cause != causeNoEndpoint && !e.repeatable(failed) || !e.takeRetry() {
		return false
	}
	delete(e.tried, e.silentEndpoint)
	e.returnTo, e.silentEndpoint = e.silentEndpoint, ""
	return true
}

// canSend reports whether there is time for another attempt.
func (e *exchange) canSend() bool { return e.remaining() > minAttemptTime && !e.server.cutting.Load() }

// repeatable reports whether the request may be sent again after the failure.
func (e *exchange) repeatable(failed *failure) bool {
	switch failed.cause {
	case causeNotSent, causeNotRun:
		return true
	case causeBroken:
		return e.route.Repeatable() && e.server.deps.Quarantine.EvidenceWait(e.server.deps.Now(), e.keys) == 0
	default:
		return false
	}
}

// takeRetry takes the next send from the retry budget.
func (e *exchange) takeRetry() bool {
	now := e.server.deps.Now()
	if !e.server.deps.Budget.Take(now, e.service.Name) {
		return false
	}
	e.retryTakenAt = now
	return true
}

// returnRetry gives back to the retry budget what was taken for a send that was not made.
func (e *exchange) returnRetry() {
	if e.retryTakenAt.IsZero() {
		return
	}
	e.server.deps.Budget.Return(e.server.deps.Now(), e.retryTakenAt, e.service.Name)
	e.retryTakenAt = time.Time{}
}

// minAttemptTime is the least time before the deadline at which another attempt is made.
const minAttemptTime = 30 * time.Millisecond
