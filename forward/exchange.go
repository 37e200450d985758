package forward

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
	"knapweedhoist/internal/boundedbuffer"
	"knapweedhoist/quarantine"
	"knapweedhoist/streamorigin"
)

// exchange is one request of a caller and its answer. One goroutine at a time
// owns it: the handler, then the one that reads the body stream.
type exchange struct {
	server  *Server
	ctx     *fasthttp.RequestCtx
	context context.Context
	cancel  context.CancelFunc

	// view is the state of the deployment at the arrival of the request, nil once admit has read it; chooseEndpoint uses the
	// current one.
	view *deployment.View
	// configVersion is the version of the configuration in view, 0 if there was none.
	configVersion int64
	route         *deployment.Route
	service       *deployment.Service
	// team is nil on public routes and if the configuration is open to all.
	team    *deployment.Team
	request Request
	// header is a copy that outlives the handler. body is that of bodyBuffer, which is nil without one.
	header     *fasthttp.RequestHeader
	body       []byte
	bodyBuffer *boundedbuffer.Buffer

	// begunAt is when the header was read: the time that the caller allows counts from it, the route's timeout from arrived.
	begunAt, arrived time.Time
	// accepted is set when the request is counted in Metrics.InProgress, until release.
	accepted bool
	// deadline is when the complete answer is due; setDeadline sets it.
	deadline time.Time
	// cost is the part of the team's limit that the request took, in the limit's units.
	cost float64
	// tried holds the IDs of the chosen endpoints; sends counts the sends that may have reached one.
	tried map[string]bool
	sends int
	// silentEndpoint is the ID of the endpoint that was given up because it was silent, "" for none. returnTo is that ID while
	// the next attempt is made there.
	silentEndpoint, returnTo string
	// retryTakenAt is when the next send was taken from the retry budget, zero if none is.
	retryTakenAt time.Time
	// mayHaveRun is set after a failed send that the endpoint may have run.
	mayHaveRun bool
	// started is set by the first call of recordStart.
	started bool
	// lastEventID is the last event id in the stream read for the caller, "" before the first one.
	lastEventID string
	inFlight    *dispatch.InFlight
	// onSent is upstream.Request.Sent of each attempt.
	onSent func()
	// keys identifies the request without its id, and the parts of its prompt that other requests can have too; setKeys sets it.
	keys quarantine.Request
	// firstEventAt is the time of the first event of the current send, progressed whether its answer went on after that.
	firstEventAt time.Time
	progressed   bool
	// origin is where the stream began, nil before its first event unless findOrigin has found that of an earlier request. What
	// it points to does not change.
	origin *streamorigin.Origin
	// buffer holds what was read of the current endpoint's answer and not passed on; nil before the first answer.
	buffer *boundedbuffer.Buffer
	// lastEventAt is the time of the last event read for the caller, zero before the first one.
	lastEventAt time.Time
	// fromPeer is set if another instance has passed the request on. peer is the instance that this one has passed it on to, "" for
	// none.
	fromPeer bool
	peer     string
	// unreached counts the endpoints that this instance did not reach although they answer others.
	unreached   int
	watchedConn *clientConn
}

// watchCaller cancels the exchange when the caller closes its connection. Requests
// that must not be repeated run to their end, since cancelling does not undo them.
func (e *exchange) watchCaller() {
	conn, ok := e.ctx.Conn().(*clientConn)
	if !ok || e.route.Kind == deployment.Unsafe {
		return
	}
	e.watchedConn = conn
	conn.watch(e.cancel)
}

// release stops watching the connection, cancels the context and removes the request from Metrics.InProgress.
func (e *exchange) release() {
	if e.watchedConn != nil {
		e.watchedConn.unwatch()
	}
	e.cancel()
	e.releaseBuffer()
	e.releaseBody()
	e.server.progress.remove(e)
	e.server.deps.Metrics.InProgress.Dec(1)
}

// newBuffer returns the buffer for an answer. It replaces that of the answer before.
func (e *exchange) newBuffer(size int) *boundedbuffer.Buffer {
	e.releaseBuffer()
	e.buffer = boundedbuffer.New(e.server.answers, size)
	return e.buffer
}

func (e *exchange) releaseBuffer() {
	if e.buffer != nil {
		e.buffer.Release()
	}
}

// recordStart calls Deps.RecordStart for the team, if there is one, at the first call.
func (e *exchange) recordStart() {
	if e.started {
		return
	}
	e.started = true
	if e.team != nil {
		e.server.deps.RecordStart(e.team.Name)
	}
}

// remaining returns the time until the deadline.
func (e *exchange) remaining() time.Duration { return time.Until(e.deadline) }

func (e *exchange) teamName() string {
	if e.team == nil {
		return ""
	}
	return e.team.Name
}
