package soak

import (
	"slices"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/request"
)

// task is the work of one instance on one request.
type task struct {
	in    *instance
	job   *job
	entry *request.Entry
	tries []*try
	avoid []*endpoint
	// done: the request ended or moved.
	done bool
	// asking: an answer to a claim is awaited.
	asking bool
	// claimed is the last verdict while the claim is not granted.
	inProgress bool
}

// Times of package backend.
const (
	moveMargin  = 5 * time.Second
	claimRetry  = 500 * time.Millisecond
	chooseRetry = 200 * time.Millisecond
)

// start begins the work.
func (t *task) start() {
	switch {
	case t.done:
	case !t.entry.MaySend():
		t.fail("handover")
	case t.job.spec.NeedsClaim:
		t.claim()
	default:
		t.begin()
	}
}

// begin chooses an endpoint and starts an attempt there.
func (t *task) begin() {
	if t.done {
		return
	}
	e := t.choose()
	if e == nil {
		t.later(chooseRetry, t.begin)
		return
	}
	number, resume, err := t.entry.BeginAttempt()
	if err != nil {
		return
	}
	t.tries = nil
	t.launch(e, number, len(resume))
}

// hedge starts a second attempt beside a slow one.
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

// choose returns an endpoint of the service that is not leaving, the nearest ones first.
func (t *task) choose() *endpoint {
	var near, all []*endpoint
	for _, listed := range t.in.view.Fleet.Service(t.job.spec.Service) {
		e := t.in.w.endpoint(listed.Address)
		if listed.Load.Leaving || e == nil || slices.Contains(t.avoid, e) {
			continue
		}
		all = append(all, e)
		if e.dc == t.in.dc {
			near = append(near, e)
		}
	}
	if len(all) == 0 {
		t.avoid = nil
		return nil
	}
	if len(near) > 0 && t.in.w.rng.Intn(3) > 0 {
		all = near
	}
	return all[t.in.w.rng.Intn(len(all))]
}

func (t *task) launch(e *endpoint, number, next int) {
	y := &try{task: t, number: number, endpoint: e, next: next, progress: t.in.w.now}
	t.tries = append(t.tries, y)
	if err := t.entry.MarkSent(number); err != nil {
		y.ended = true
		return
	}
	t.in.checkNewWork(e)
	e.receive(y)
}

// later runs a step after a while, unless the task has ended.
func (t *task) later(wait time.Duration, step func()) {
	t.in.w.after(wait, func() {
		t.in.do(func() {
			if !t.done {
				step()
			}
		})
	})
}

func (t *task) turn() {
	now := t.in.w.now
	if !now.Before(t.job.spec.Deadline) {
		t.expire()
		return
	}
	for _, y := range t.tries {
		y.turn(now)
	}
}

// expire ends the request at its deadline.
func (t *task) expire() {
	if t.job.spec.NeedsClaim && t.entry.LastAttempt() == 0 && t.entry.MaySend() {
		t.failClaim()
		return
	}
	t.fail("deadline")
}

// fail ends the request without an answer, with the outcome that is proved.
func (t *task) fail(step string) {
	t.finish(request.Finish{Outcome: t.entry.OutcomeIfEnded(), Status: 502, Step: step})
}

// finish ends the request here.
func (t *task) finish(finish request.Finish) {
	if t.done || t.entry.Finish(t.in.w.now, finish) != nil {
		return
	}
	t.in.w.trace(t.job.about(), "finished at %s: %s %d %s", t.in.id, finish.Outcome, finish.Status, finish.Step)
	t.done = true
	t.job.answeredAt = t.in.w.now
	t.reportClaim(finish)
}

// tryEnded goes on after an attempt that did not answer.
func (t *task) tryEnded(y *try, result request.AttemptResult) {
	if y.ended {
		return
	}
	y.ended = true
	t.in.w.trace(t.job.about(), "attempt %d at %s ended at %s: %s", y.number, y.endpoint.id, t.in.id, result)
	live := t.entry.Live(y.number)
	t.entry.EndAttempt(y.number, result)
	t.avoid = append(t.avoid, y.endpoint)
	if t.done || !live || t.liveTries() > 0 {
		return
	}
	if !t.entry.MaySend() {
		t.fail("endpoint")
		return
	}
	t.later(t.in.w.between(50*time.Millisecond, time.Second), t.begin)
}

func (t *task) liveTries() int {
	n := 0
	for _, y := range t.tries {
		if !y.ended && t.entry.Live(y.number) {
			n++
		}
	}
	return n
}

// endpointLeaving moves model work away before the endpoint ends.
func (t *task) endpointLeaving(e *endpoint) {
	for _, y := range t.tries {
		if y.endpoint == e && !y.ended && t.job.spec.Kind == catalog.KindModel {
			t.later(max(0, e.endsAt.Sub(t.in.w.now)-moveMargin), func() { t.move(y) })
		}
	}
}

// move replaces an attempt at a leaving endpoint; its late events still come.
func (t *task) move(y *try) {
	if y.ended || !t.entry.Live(y.number) {
		return
	}
	t.in.w.count("attempt moved")
	t.avoid = append(t.avoid, y.endpoint)
	t.begin()
}
