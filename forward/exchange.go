package forward

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
)

// exchange is one request of a caller, from its arrival to the end of its
// answer. One goroutine at a time owns it: the handler, then the body stream.
type exchange struct {
	server  *Server
	ctx     *fasthttp.RequestCtx
	context context.Context
	cancel  context.CancelFunc

	view    *deployment.View
	route   *deployment.Route
	service *deployment.Service
	// team is nil on public routes and where there are no teams.
	team    *deployment.Team
	request Request
	// header and body are copies that outlive the handler.
	header *fasthttp.RequestHeader
	body   []byte

	arrived time.Time
	// deadline is when the final answer is due: the route's timeout or the end of the caller's patience.
	deadline time.Time
	// cost is what the request took of the team's limit.
	cost float64
	// tried has the endpoints that the request was sent to; sends counts the sends that may have arrived.
	tried map[string]bool
	sends int
	// mayHaveRun is set by the first send whose outcome is unknown.
	mayHaveRun bool
	began      bool
	// lastEvent is the id of the last event that the caller has, "" before the first one.
	lastEvent string
	flight    *dispatch.InFlight
	watched   *clientConn
}

// watchCaller cancels the exchange when the caller leaves. A request that must
// not be repeated runs to its end, since breaking it off does not undo it.
func (e *exchange) watchCaller() {
	conn, ok := e.ctx.Conn().(*clientConn)
	if !ok || e.route.Kind == deployment.Unsafe {
		return
	}
	e.watched = conn
	conn.watch(e.cancel)
}

// end releases what the exchange holds.
func (e *exchange) end() {
	if e.watched != nil {
		e.watched.unwatch()
	}
	e.cancel()
	e.server.deps.Metrics.InProgress.Dec(1)
}

// begin counts the request as begun, once.
func (e *exchange) begin() {
	if e.began {
		return
	}
	e.began = true
	if e.team != nil {
		e.server.deps.Began(e.team.Name)
	}
}

// remaining is the time until the final answer is due.
func (e *exchange) remaining() time.Duration { return time.Until(e.deadline) }

func (e *exchange) teamName() string {
	if e.team == nil {
		return ""
	}
	return e.team.Name
}
