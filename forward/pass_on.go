package forward

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/deployment"
	"knapweedhoist/upstream"
)

const (
	// maxPeersTried is the number of other instances that are asked to pass a request on.
	maxPeersTried = 3
	// minUnreached is the number of endpoints after which a request is passed on. One that has just crashed is no reason: another
	// instance may choose it, too.
	minUnreached = 2
	// peerIdleLimit is the number of idle connections that are kept to another instance.
	peerIdleLimit = 8
	// headerNotPassedOn marks the refusal of an instance that has not tried the request of another one. It counts in a 503 only: an
	// instance passes no 503 of an endpoint on, which could have the field as well.
	headerNotPassedOn = "Hoist-Not-Passed-On"
)

// lostEndpoints reports whether this instance has lost its paths to all endpoints.
func (s *Server) lostEndpoints() bool {
	return s.deps.Reach.Lost(time.Now(), len(s.deps.State.View().Endpoints))
}

// recordReach records whether the chosen endpoint answered a send.
func (e *exchange) recordReach(err error) {
	switch {
	case err == nil:
		e.server.deps.Reach.Heard(time.Now())
	case e.context.Err() == nil:
		e.server.deps.Reach.Failed(time.Now(), e.inFlight.Endpoint.ID)
	}
}

// othersReach reports whether the request is better passed on after a failed send: this instance has lost its paths, or has not
// reached minUnreached endpoints that answer the others.
func (e *exchange) othersReach(failed *failure) bool {
	if failed.cause != causeNotSent {
		return false
	}
	if e.server.deps.Balancer.ServedElsewhere(e.inFlight.Endpoint.ID) {
		e.unreached++
	}
	return e.unreached >= minUnreached || e.server.lostEndpoints()
}

// passOn sends the request through another instance, which does all that this one does for a caller: it charges the team, chooses
// endpoints and repeats the request. passed is false if none has taken the request, or it may be sent again all the same.
func (e *exchange) passOn(reason string) (answer *endpointAnswer, passed bool, err error) {
	s := e.server
	if e.fromPeer {
		return nil, false, nil
	}
	for _, peer := range s.deps.Peers.Choose(time.Now(), maxPeersTried, s.deps.Random) {
		if !e.canSend() {
			return nil, false, nil
		}
		answer, failed := e.sendToPeer(peer)
		switch {
		case failed == nil:
			e.refund()
			s.deps.Metrics.PassedOn.Inc(1)
			s.deps.Log.Info("request passed on", "id", e.request.ID, "peer", peer, "reason", reason, "sends", e.sends)
			return answer, true, nil
		case failed.cause == causeNotSent, failed.cause == causeNotRun:
		case failed.cause != causeBroken || !e.route.Repeatable() || !e.takeRetry():
			e.refund() // the other instance has charged the team
			return nil, true, failed
		}
		s.deps.Log.Info("request not passed on", "id", e.request.ID, "peer", peer, "reason", failed.Error())
	}
	return nil, false, nil
}

// sendToPeer sends the request to another instance and reads the answer, or its header if it is a stream.
func (e *exchange) sendToPeer(peer string) (*endpointAnswer, *failure) {
	s := e.server
	header := &fasthttp.RequestHeader{}
	s.deps.Codec.EncodePassedOn(header, e.header, e.remaining())
	if len(e.body) > 0 || !header.IsGet() && !header.IsHead() {
		header.SetContentLength(len(e.body))
	}
	var answerHeader AnswerHeader // of the last header read, which is the answer's if there is an answer
	response, err := s.deps.PeerPool.Do(e.context, upstream.Request{
		Target: upstream.Target{Address: peer, ID: peer}, Header: header, Body: e.body, ID: e.request.ID,
		ResponseID: func(h *fasthttp.ResponseHeader) string {
			answerHeader = s.deps.Codec.DecodeAnswer(h)
			return answerHeader.RequestID
		},
		Deadline: e.deadline, IdleLimit: peerIdleLimit,
	})
	if err != nil {
		return nil, e.endFailedPeer(peer, err)
	}
	status := response.Header.StatusCode()
	switch {
	case status == fasthttp.StatusServiceUnavailable && len(response.Header.Peek(headerNotPassedOn)) > 0:
		discardBody(response)
		response.Close()
		s.deps.Peers.Failed(time.Now(), peer)
		return nil, &failure{cause: causeNotRun, err: statusError(status)}
	case status < fasthttp.StatusMultipleChoices && !answerHeader.Signed:
		response.Abort()
		return nil, e.endFailedPeer(peer, errUnsigned)
	}
	s.deps.Peers.Passed(time.Now(), peer)
	e.peer = peer
	if e.route.Kind == deployment.Stream && status < fasthttp.StatusMultipleChoices {
		return &endpointAnswer{header: &response.Header, passedOn: &passedOnStream{exchange: e, answer: response}}, nil
	}
	body, err := e.newBuffer(bodyBufferBytes(response)).ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		response.Abort()
		return nil, e.endFailedPeer(peer, err)
	}
	response.Close()
	return &endpointAnswer{header: &response.Header, body: body}, nil
}

// endFailedPeer classifies the error of a send to another instance.
func (e *exchange) endFailedPeer(peer string, err error) *failure {
	notSent := errors.Is(err, upstream.ErrNotSent)
	if e.context.Err() == nil && (notSent || !isTimeout(err)) {
		e.server.deps.Peers.Failed(time.Now(), peer)
	}
	e.mayHaveRun = e.mayHaveRun || !notSent
	switch {
	case e.context.Err() != nil && e.server.cutting.Load():
		return &failure{cause: causeStopping, err: err}
	case e.context.Err() != nil:
		return &failure{cause: causeCallerClosed, err: errCallerClosed}
	case notSent:
		return &failure{cause: causeNotSent, err: err}
	case isTimeout(err):
		return &failure{cause: causeTimeout, err: err}
	default:
		return &failure{cause: causeBroken, err: err}
	}
}
