package soak

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// Times of endpoints.
const (
	dialTimeout = time.Second
	slowestCall = 8 * time.Second
)

// checkNewWork fails when an endpoint gets new work later than 3 s after its leave was announced.
func (in *instance) checkNewWork(e *endpoint) {
	if told, found := in.told[e.incarnation]; found && in.w.now.Sub(told) > leaveLimit {
		in.w.fail("P5: %s sent work to %s %v after it was told of the leave", in.id, e.id, in.w.now.Sub(told))
	}
	if e.announcedAt.IsZero() {
		return
	}
	since := latest(e.announcedAt, in.w.calmSince, in.startedAt, in.resumedAt)
	if in.w.now.Sub(since) > leaveLimit {
		in.w.fail("P5: %s sent work to %s %v after its leave was announced (announced %v, calm %v, started %v, resumed %v ago; known as %+v)", in.id, e.id, in.w.now.Sub(since),
			in.w.now.Sub(e.announcedAt), in.w.now.Sub(in.w.calmSince), in.w.now.Sub(in.startedAt), in.w.now.Sub(in.resumedAt), in.view.Fleet.Endpoint(e.id))
	}
}

// leaveLimit is the time of P5.
const leaveLimit = 3 * time.Second

// receive takes an attempt in, whose first byte is sent now.
func (e *endpoint) receive(y *try) {
	w, in := e.w, y.task.in
	if e.gone || w.net.cut(in.dc, e.dc) {
		w.after(dialTimeout, func() { in.do(func() { y.task.tryEnded(y, request.ResultUnsent) }) })
		return
	}
	w.net.reliable(in.dc, e.dc, nil, func() { e.accept(y) })
}

// accept runs an attempt, or refuses it.
func (e *endpoint) accept(y *try) {
	w, in := e.w, y.task.in
	switch {
	case e.gone:
		return
	case e.leaving && w.rng.Intn(2) == 0, w.rng.Intn(50) == 0:
		w.count("endpoint refused work")
		w.net.reliable(e.dc, in.dc, nil, func() { in.do(func() { y.task.tryEnded(y, request.ResultRefused) }) })
		return
	}
	e.ledger(y.task.job)
	line := &line{}
	e.open = append(e.open, stream{try: y, line: line})
	if y.task.job.spec.Kind == catalog.KindModel {
		e.generate(y, line, y.next)
		return
	}
	w.after(w.between(50*time.Millisecond, slowestCall), func() { e.reply(y, line) })
}

// ledger notes that the work runs.
func (e *endpoint) ledger(j *job) {
	w := e.w
	j.runs++
	w.trace(j.about(), "runs at %s", e.id)
	if j.spec.Repeatable() {
		return
	}
	if j.runs > 1 {
		w.fail("P4: %s ran %d times", j.spec.ID, j.runs)
	}
	if j.spec.Key == "" {
		return
	}
	if other := w.ran[j.scope()]; other != nil && other != j {
		w.fail("P4: %s ran for %s and again for %s", j.scope(), other.spec.ID, j.spec.ID)
	}
	w.ran[j.scope()] = j
}

// generate streams the tokens from a position.
func (e *endpoint) generate(y *try, l *line, index int) {
	w, in, j := e.w, y.task.in, y.task.job
	w.after(w.between(50*time.Millisecond, 400*time.Millisecond), func() {
		if e.gone {
			return
		}
		if index == j.tokens {
			w.net.reliable(e.dc, in.dc, l, func() { in.do(func() { y.answered(j.modelFinish()) }) })
			return
		}
		w.net.reliable(e.dc, in.dc, l, func() { in.do(func() { y.token(index, j.token(index)) }) })
		e.generate(y, l, index+1)
	})
}

func (j *job) modelFinish() request.Finish {
	return request.Finish{
		Outcome: request.OutcomeRan, FinishReason: "stop", Usage: &engine.Usage{CompletionTokens: j.tokens},
	}
}

// reply answers a plain call.
func (e *endpoint) reply(y *try, l *line) {
	w, in, j := e.w, y.task.in, y.task.job
	if e.gone {
		return
	}
	w.net.reliable(e.dc, in.dc, l, func() {
		in.do(func() {
			y.answered(request.Finish{Outcome: request.OutcomeRan, Status: 200, Body: []byte(j.answer())})
		})
	})
}

// stream is an attempt that runs at an endpoint.
type stream struct {
	try  *try
	line *line
}

// breakStreams ends the connections of an endpoint that has ended: most callers see a reset, the others silence.
func (e *endpoint) breakStreams() {
	w := e.w
	for _, s := range e.open {
		y := s.try
		in := y.task.in
		if w.rng.Intn(5) == 0 {
			w.count("connection of an endpoint went silent")
			w.after(silence, func() { in.do(func() { y.task.tryEnded(y, request.ResultBroken) }) })
			continue
		}
		w.net.reliable(e.dc, in.dc, s.line, func() { in.do(func() { y.task.tryEnded(y, request.ResultBroken) }) })
	}
	e.open = nil
}
