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

// maxDials bounds the endpoints that are tried without a connection to any.
const maxDials = 4

// maxAnswerBytes bounds the answer of a plain service, which is held whole.
const maxAnswerBytes = 16 << 20

// endpointAnswer is an endpoint's answer: whole, or a stream with its first events.
type endpointAnswer struct {
	header *fasthttp.ResponseHeader
	body   []byte
	events *eventStream
}

// offer sends the request to endpoints until one answers or the request may
// not be sent again. The error is a *failure.
func (e *exchange) offer() (*endpointAnswer, error) {
	e.server.deps.Budget.Request(e.server.deps.Now(), e.service.Name)
	for {
		answer, err := e.attempt()
		if err == nil {
			return answer, nil
		}
		if !e.mayRepeat(err) {
			if answer != nil {
				return answer, nil
			}
			return nil, err
		}
		e.server.deps.Metrics.Repeated.Inc(1)
		e.server.deps.Log.Info("request repeated", "id", e.request.ID, "endpoint", e.flight.Endpoint.ID,
			"reason", err.Error(), "sends", e.sends)
	}
}

// attempt offers the request to one endpoint. An answer that comes with an
// error may be passed on when the request is not repeated.
func (e *exchange) attempt() (*endpointAnswer, *failure) {
	now := time.Now()
	if err := e.choose(now); err != nil {
		return nil, &failure{cause: causeNoEndpoint, err: err}
	}
	answer, reply, err := e.send(now)
	if err != nil {
		return nil, e.sendFailed(err)
	}
	return e.receive(answer, reply)
}

func (e *exchange) choose(now time.Time) error {
	flight, err := e.server.deps.Balancer.Choose(now, dispatch.Query{
		Service: e.service, Endpoints: e.server.deps.State.View().Endpoints,
		Prompt: e.request.Prompt, Tokens: e.request.PromptTokens, Tried: e.tried,
	})
	if err != nil {
		return err
	}
	e.flight = flight
	e.tried[flight.Endpoint.ID] = true
	return nil
}

func (e *exchange) send(now time.Time) (*upstream.Response, Reply, error) {
	header := &fasthttp.RequestHeader{}
	e.server.deps.Dialect.EncodeAttempt(header, e.header, Attempt{
		EndpointID: e.flight.Endpoint.ID, Team: e.teamName(), Remaining: e.deadline.Sub(now),
		LastEvent: e.lastEvent, Priority: e.priority(),
	})
	if len(e.body) > 0 || !header.IsGet() && !header.IsHead() {
		header.SetContentLength(len(e.body))
	}
	e.sends++
	var reply Reply // of the newest head that was read, which is the answer's when there is one
	answer, err := e.server.deps.Pool.Do(e.context, upstream.Request{
		Target: upstream.Target{Address: e.flight.Endpoint.Address, ID: e.flight.Endpoint.ID},
		Header: header, Body: e.body, ID: e.request.ID,
		ResponseID: func(h *fasthttp.ResponseHeader) string {
			reply = e.server.deps.Dialect.DecodeReply(h)
			return reply.RequestID
		},
		Deadline:  e.deadline,
		IdleLimit: upstream.IdleLimit(e.service.MaxConnections, e.server.deps.Instances()),
	})
	if err != nil {
		return nil, Reply{}, err
	}
	if reply.Load != nil {
		reply.Load.At = time.Now()
		e.flight.RecordLoad(*reply.Load)
	}
	return answer, reply, nil
}

// priority ranks the request among all requests of an engine: the team's rank first, then the route's.
func (e *exchange) priority() int {
	if e.service.Engine == nil {
		return -1
	}
	rank := 1
	if e.team != nil && e.team.Priority >= 0 {
		rank = e.team.Priority
	}
	return min(rank*routeRanks+min(e.route.Priority, routeRanks-1), lowestPriority)
}

const (
	// routeRanks is the number of ranks of routes that are told apart within a team's rank.
	routeRanks = 3
	// lowestPriority is the last rank that engines know.
	lowestPriority = 9
)

// sendFailed ends the flight of a send without an answer.
func (e *exchange) sendFailed(err error) *failure {
	now := time.Now()
	switch {
	case errors.Is(err, upstream.ErrNotSent) && e.context.Err() == nil:
		e.sends--
		e.flight.Done(now, dispatch.Failed)
		return &failure{cause: causeNotSent, err: err}
	case e.context.Err() != nil:
		e.flight.Done(now, dispatch.Served)
		e.mayHaveRun = true
		return &failure{cause: causeCallerGone, err: errCallerGone}
	case isTimeout(err):
		e.flight.Done(now, dispatch.TimedOut)
		e.mayHaveRun = true
		return &failure{cause: causeTimeout, err: err}
	default:
		e.flight.Done(now, dispatch.Failed)
		e.mayHaveRun = true
		return &failure{cause: causeBroken, err: err}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, fasthttp.ErrTimeout) ||
		errors.Is(err, context.DeadlineExceeded)
}

var (
	errUnsigned = errors.New("success without the endpoint's signature")
	errEncoded  = errors.New("answer with an encoded body")
	errTooLarge = errors.New("answer too large")
	errStatus   = errors.New("endpoint failed")
)

// receive reads an answer: the first events of a stream, or the whole of any other.
func (e *exchange) receive(answer *upstream.Response, reply Reply) (*endpointAnswer, *failure) {
	status := answer.Header.StatusCode()
	switch {
	case reply.NotRun || status == fasthttp.StatusMisdirectedRequest:
		return nil, e.notRun(answer, status)
	case reply.Encoded:
		return nil, e.broken(answer, errEncoded)
	case status < 300 && !reply.Signed:
		return nil, e.broken(answer, errUnsigned)
	case promisesNotRun(status):
		return nil, e.broken(answer, statusError(status))
	case e.route.Kind == deployment.Stream && status < 300:
		return e.openStream(answer)
	}
	return e.readWhole(answer, status)
}

// promisesNotRun reports whether a caller takes the status for a promise that the request did not run. From an endpoint
// it says so only with the field that Reply.NotRun stands for; without it the request may have run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// notRun ends a send that the endpoint turned away.
func (e *exchange) notRun(answer *upstream.Response, status int) *failure {
	drain(answer)
	answer.Close()
	e.flight.Done(time.Now(), dispatch.Shed)
	return &failure{cause: causeNotRun, err: statusError(status)}
}

// drain reads the short body of a rejection, so that the connection can be kept.
func drain(answer *upstream.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxRejectionBytes)); err != nil {
		answer.Abort()
	}
}

// maxRejectionBytes bounds the body of a rejection that is read to keep its connection.
const maxRejectionBytes = 64 << 10

func (e *exchange) broken(answer *upstream.Response, err error) *failure {
	answer.Abort()
	return e.sendFailed(err)
}

func (e *exchange) readWhole(answer *upstream.Response, status int) (*endpointAnswer, *failure) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, e.broken(answer, err)
	case len(body) > maxAnswerBytes:
		return nil, e.broken(answer, errTooLarge)
	}
	answer.Close()
	e.begin()
	whole := &endpointAnswer{header: &answer.Header, body: body}
	if status < 500 {
		e.flight.Done(time.Now(), dispatch.Served)
		return whole, nil
	}
	e.flight.Done(time.Now(), dispatch.Failed)
	e.mayHaveRun = true
	return whole, &failure{cause: causeBroken, err: statusError(status)}
}

// mayRepeat reports whether the request is sent again after a failed attempt, and takes it from the budget.
func (e *exchange) mayRepeat(failed *failure) bool {
	switch {
	case e.remaining() <= minRemaining:
		return false
	case failed.cause == causeNotSent:
		return len(e.tried) < maxDials
	case failed.cause == causeNotRun:
	case failed.cause == causeBroken && e.route.Repeatable():
	default:
		return false
	}
	return e.sends < e.route.MaxAttempts && e.server.deps.Budget.Take(e.server.deps.Now(), e.service.Name)
}

// minRemaining is the time that another attempt needs at least.
const minRemaining = 30 * time.Millisecond
