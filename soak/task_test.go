package soak

import (
	"slices"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/request"
)

// task is the execution of one request at one instance.
type task struct {
	in       *instance
	job      *job
	entry    *request.Entry
	attempts []*attempt
	// excluded lists the endpoints whose attempt failed or was moved, until no other endpoint is left.
	excluded []*endpoint
	// done reports whether the request has ended or moved to another instance.
	done bool
	// claimPending reports whether a claim request awaits its answer.
	claimPending bool
	// inProgress reports whether the last claim verdict was InProgress.
	inProgress bool
}

// Retry intervals and margin. moveMargin and claimRetry are the defaults of package backend; chooseRetry replaces its
// backoff while no endpoint is available.
const (
	moveMargin  = 5 * time.Second
	claimRetry  = 500 * time.Millisecond
	chooseRetry = 200 * time.Millisecond
)

// start claims the key of a request that needs it, or starts the first attempt. A request that may no longer be sent fails.
func (t *task) start() {
	switch {
	case t.done:
	case !t.entry.MaySend():
		t.fail("handover")
	case t.job.spec.NeedsClaim:
		t.claim()
	default:
		t.startAttempt()
	}
}

// startAttempt chooses an endpoint and starts an attempt there; without an endpoint it retries after chooseRetry.
func (t *task) startAttempt() {
	if t.done {
		return
	}
	e := t.choose()
	if e == nil {
		t.runLater(chooseRetry, t.startAttempt)
		return
	}
	number, resume, err := t.entry.BeginAttempt()
	if err != nil {
		return
	}
	t.attempts = nil
	t.launch(e, number, len(resume))
}

// hedge starts a second attempt in parallel with a slow one.
func (t *task) hedge() {
	e := t.choose()
	if e == nil {
		return
	}
	number, resume, err := t.entry.BeginHedge()
	if err != nil {
		return
	}
	t.in.w.count("hedge")
	t.launch(e, number, len(resume))
}

// choose draws a running endpoint of the service that is neither leaving nor excluded, two times in three from the same
// data centre if that has any. It returns nil and clears the exclusions if there is none.
func (t *task) choose() *endpoint {
	var near, all []*endpoint
	for _, listed := range t.in.view.Fleet.Service(t.job.spec.Service) {
		e := t.in.w.endpoint(listed.Address)
		if listed.Load.Leaving || e == nil || slices.Contains(t.excluded, e) {
			continue
		}
		all = append(all, e)
		if e.dc == t.in.dc {
			near = append(near, e)
		}
	}
	if len(all) == 0 {
		t.excluded = nil
		return nil
	}
	if len(near) > 0 && t.in.w.rng.Intn(3) > 0 {
		all = near
	}
	return all[t.in.w.rng.Intn(len(all))]
}

func (t *task) launch(e *endpoint, number, next int) {
	a := &attempt{task: t, number: number, endpoint: e, next: next, progressAt: t.in.w.now}
	t.attempts = append(t.attempts, a)
	if err := t.entry.MarkSent(number); err != nil {
		a.ended = true
		return
	}
	t.in.checkNewWork(e)
	e.receive(a)
}

// runLater runs step after wait, unless the task has ended by then.
func (t *task) runLater(wait time.Duration, step func()) {
	t.in.w.after(wait, func() {
		t.in.do(func() {
			if !t.done {
				step()
			}
		})
	})
}

func (t *task) tick() {
	now := t.in.w.now
	if !now.Before(t.job.spec.Deadline) {
		t.expire()
		return
	}
	for _, a := range t.attempts {
		a.tick(now)
	}
}

// expire finishes the request at its deadline.
func (t *task) expire() {
	if t.job.spec.NeedsClaim && t.entry.LastAttempt() == 0 && t.entry.MaySend() {
		t.failClaim()
		return
	}
	t.fail("deadline")
}

// fail finishes the request without an answer, with the outcome that the sent attempts prove.
func (t *task) fail(step string) {
	t.finish(request.Finish{Outcome: t.entry.OutcomeIfEnded(), Status: 502, Step: step})
}

// finish finishes the request at this instance and reports the end of its claim.
func (t *task) finish(finish request.Finish) {
	if t.done || t.entry.Finish(t.in.w.now, finish) != nil {
		return
	}
	t.in.w.trace(t.job.traceLabel(), "finished at %s: %s %d %s", t.in.id, finish.Outcome, finish.Status, finish.Step)
	t.done = true
	t.job.answeredAt = t.in.w.now
	t.reportClaim(finish)
}

// attemptEnded handles an attempt that ended without an answer. If the attempt had not been superseded and no other one is
// live, it starts another attempt, or fails the request if that may not be sent again.
func (t *task) attemptEnded(a *attempt, result request.AttemptResult) {
	if a.ended {
		return
	}
	a.ended = true
	t.in.w.trace(t.job.traceLabel(), "attempt %d at %s ended at %s: %s", a.number, a.endpoint.id, t.in.id, result)
	live := t.entry.Live(a.number)
	t.entry.EndAttempt(a.number, result)
	t.excluded = append(t.excluded, a.endpoint)
	if t.done || !live || t.liveAttempts() > 0 {
		return
	}
	if !t.entry.MaySend() {
		t.fail("endpoint")
		return
	}
	t.runLater(t.in.w.randomDuration(50*time.Millisecond, time.Second), t.startAttempt)
}

func (t *task) liveAttempts() int {
	n := 0
	for _, a := range t.attempts {
		if !a.ended && t.entry.Live(a.number) {
			n++
		}
	}
	return n
}

// endpointLeaving schedules the move of model requests away from an endpoint, moveMargin before the endpoint ends.
func (t *task) endpointLeaving(e *endpoint) {
	for _, a := range t.attempts {
		if a.endpoint == e && !a.ended && t.job.spec.Kind == catalog.KindModel {
			t.runLater(max(0, e.endsAt.Sub(t.in.w.now)-moveMargin), func() { t.move(a) })
		}
	}
}

// move replaces an attempt at a leaving endpoint; late events of the old attempt can still arrive.
func (t *task) move(a *attempt) {
	if a.ended || !t.entry.Live(a.number) {
		return
	}
	t.in.w.count("attempt moved")
	t.excluded = append(t.excluded, a.endpoint)
	t.startAttempt()
}
