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
}

// sendWithRetries sends the request to one endpoint after another until one
// answers or the request must not be sent again. The error is a *failure.
func (e *exchange) sendWithRetries() (*endpointAnswer, error) {
	e.server.deps.Budget.RecordRequest(e.server.deps.Now(), e.service.Name)
	if !e.awaitEvidence() {
		return nil, &failure{cause: causeCallerClosed, err: errCallerClosed}
	}
	for {
		answer, err := e.attempt()
		if err == nil {
			return answer, nil
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
	now := time.Now()
	if err := e.chooseEndpoint(now); err != nil {
		return nil, &failure{cause: causeNoEndpoint, err: err}
	}
	answer, answerHeader, err := e.send(now)
	if err != nil {
		return nil, e.endFailedSend(err)
	}
	return e.readAnswer(answer, answerHeader)
}

// chooseEndpoint chooses an endpoint that was not tried yet and sets e.inFlight.
func (e *exchange) chooseEndpoint(now time.Time) error {
	inFlight, err := e.server.deps.Balancer.Choose(now, dispatch.Query{
		Service: e.service, Endpoints: e.server.deps.State.View().Endpoints,
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
		IdleLimit: e.idleLimit(),
	})
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
	case errors.Is(err, upstream.ErrNotSent) && e.context.Err() == nil:
		e.sends--
		e.inFlight.Done(now, dispatch.Failed)
		return &failure{cause: causeNotSent, err: err}
	case e.context.Err() != nil:
		e.inFlight.Done(now, dispatch.Served)
		e.mayHaveRun = true
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
		e.investigateLoss(err)
		return &failure{cause: causeBroken, err: err}
	}
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
	errAnswerTooLarge   = errors.New("answer body is larger than 16 MiB")
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

// maxRejectionBytes bounds how much of a rejection's body is read in order to reuse the connection.
const maxRejectionBytes = 64 << 10

// abortSend closes the connection of an answer that cannot be used and ends the send.
func (e *exchange) abortSend(answer *upstream.Response, err error) *failure {
	answer.Abort()
	return e.endFailedSend(err)
}

// readBuffered reads the complete body. An answer with a 5xx status is returned together with a failure.
func (e *exchange) readBuffered(answer *upstream.Response, status int) (*endpointAnswer, *failure) {
	body, taken, err := e.server.answers.read(answer.Body, maxAnswerBytes)
	e.answerBytes += taken
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

// allowRetry reports whether the request is sent again after a failed attempt, and takes the retry from the budget
// unless the request did not reach the endpoint.
func (e *exchange) allowRetry(failed *failure) bool {
	switch {
	case e.remaining() <= minAttemptTime:
		return false
	case failed.cause == causeNotSent:
		return len(e.tried) < maxEndpointsTried
	case failed.cause == causeNotRun:
	case failed.cause == causeBroken && e.route.Repeatable() && e.server.deps.Quarantine.EvidenceWait(e.server.deps.Now(), e.keys) == 0:
	default:
		return false
	}
	return e.sends < e.route.MaxAttempts && e.server.deps.Budget.Take(e.server.deps.Now(), e.service.Name)
}

// minAttemptTime is the least time before the deadline at which another attempt is made.
const minAttemptTime = 30 * time.Millisecond
