package soak

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// Dial timeout, and duration of the slowest plain call.
const (
	dialTimeout = time.Second
	slowestCall = 8 * time.Second
)

// checkNewWork fails when this instance sends a new attempt to an endpoint more than maxLeaveDelay after it saw the
// endpoint's leave, or more than maxLeaveDelay after the latest of: when any instance first saw the leave, the last
// failure of the platform or the network, and this instance's start and last pause.
func (in *instance) checkNewWork(e *endpoint) {
	if leaveSeenAt, found := in.leaveSeenAt[e.incarnation]; found && in.w.now.Sub(leaveSeenAt) > maxLeaveDelay {
		in.w.fail("P5: %s sent work to %s %v after it saw the leave", in.id, e.id, in.w.now.Sub(leaveSeenAt))
	}
	if e.announcedAt.IsZero() {
		return
	}
	since := latest(e.announcedAt, in.w.calmSince, in.startedAt, in.resumesAt)
	if in.w.now.Sub(since) > maxLeaveDelay {
		in.w.fail("P5: %s sent work to %s %v after its leave was announced (announced %v, calm %v, started %v, resumed %v ago; known as %+v)", in.id, e.id, in.w.now.Sub(since),
			in.w.now.Sub(e.announcedAt), in.w.now.Sub(in.w.calmSince), in.w.now.Sub(in.startedAt), in.w.now.Sub(in.resumesAt), in.view.Fleet.Endpoint(e.id))
	}
}

// maxLeaveDelay is the time limit of guarantee P5.
const maxLeaveDelay = 3 * time.Second

// receive delivers an attempt whose first byte is sent now; without a connection it ends unsent after dialTimeout.
func (e *endpoint) receive(a *attempt) {
	w, in := e.w, a.task.in
	if e.ended || w.net.cut(in.dc, e.dc) {
		w.after(dialTimeout, func() { in.do(func() { a.task.attemptEnded(a, request.ResultUnsent) }) })
		return
	}
	w.net.sendReliable(in.dc, e.dc, nil, func() { e.accept(a) })
}

// accept runs an attempt or refuses it; an endpoint that has ended drops it without a reply.
func (e *endpoint) accept(a *attempt) {
	w, in := e.w, a.task.in
	switch {
	case e.ended:
		return
	case e.leaving && w.rng.Intn(2) == 0, w.rng.Intn(50) == 0:
		w.count("endpoint refused work")
		w.net.sendReliable(e.dc, in.dc, nil, func() { in.do(func() { a.task.attemptEnded(a, request.ResultRefused) }) })
		return
	}
	e.recordRun(a.task.job)
	connection := &connection{}
	e.open = append(e.open, stream{attempt: a, connection: connection})
	if a.task.job.spec.Kind == catalog.KindModel {
		e.generate(a, connection, a.next)
		return
	}
	w.after(w.randomDuration(50*time.Millisecond, slowestCall), func() { e.reply(a, connection) })
}

// recordRun counts a run of the job, and fails when a request that is not repeatable, or its key, runs twice.
func (e *endpoint) recordRun(j *job) {
	w := e.w
	j.runs++
	w.trace(j.traceLabel(), "runs at %s", e.id)
	if j.spec.Repeatable() {
		return
	}
	if j.runs > 1 {
		w.fail("P4: %s ran %d times", j.spec.ID, j.runs)
	}
	if j.spec.Key == "" {
		return
	}
	if other := w.ranByKey[j.scope()]; other != nil && other != j {
		w.fail("P4: %s ran for %s and again for %s", j.scope(), other.spec.ID, j.spec.ID)
	}
	w.ranByKey[j.scope()] = j
}

// generate streams the tokens of the answer from index on.
func (e *endpoint) generate(a *attempt, c *connection, index int) {
	w, in, j := e.w, a.task.in, a.task.job
	w.after(w.randomDuration(50*time.Millisecond, 400*time.Millisecond), func() {
		if e.ended {
			return
		}
		if index == j.tokens {
			w.net.sendReliable(e.dc, in.dc, c, func() { in.do(func() { a.receiveAnswer(j.modelFinish()) }) })
			return
		}
		w.net.sendReliable(e.dc, in.dc, c, func() { in.do(func() { a.receiveToken(index, j.token(index)) }) })
		e.generate(a, c, index+1)
	})
}

func (j *job) modelFinish() request.Finish {
	return request.Finish{
		Outcome: request.OutcomeRan, FinishReason: "stop", Usage: &engine.Usage{CompletionTokens: j.tokens},
	}
}

// reply sends the answer of a plain call.
func (e *endpoint) reply(a *attempt, c *connection) {
	w, in, j := e.w, a.task.in, a.task.job
	if e.ended {
		return
	}
	w.net.sendReliable(e.dc, in.dc, c, func() {
		in.do(func() {
			a.receiveAnswer(request.Finish{Outcome: request.OutcomeRan, Status: 200, Body: []byte(j.answer())})
		})
	})
}

// stream is an attempt that runs at an endpoint.
type stream struct {
	attempt    *attempt
	connection *connection
}

// breakStreams ends the connections of an endpoint that has ended. Four in five senders receive a reset, the others
// nothing until the session timeout.
func (e *endpoint) breakStreams() {
	w := e.w
	for _, s := range e.open {
		a := s.attempt
		in := a.task.in
		if w.rng.Intn(5) == 0 {
			w.count("connection of an endpoint went silent")
			w.after(sessionTimeout, func() { in.do(func() { a.task.attemptEnded(a, request.ResultBroken) }) })
			continue
		}
		w.net.sendReliable(e.dc, in.dc, s.connection, func() { in.do(func() { a.task.attemptEnded(a, request.ResultBroken) }) })
	}
	e.open = nil
}
