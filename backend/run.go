package backend

import (
	"context"
	"errors"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// run is the work on one request. Its goroutine decides on all attempts; each
// attempt has a goroutine of its own that streams or calls.
type run struct {
	runner *Runner
	entry  *request.Entry
	spec   *request.Spec
	ctx    context.Context
	ends   chan end
	// won gets the attempt whose token decided a hedge.
	won  chan *try
	stop chan struct{}
	// live are the running attempts; two during a hedge.
	live  []*try
	avoid []string
	// idle counts attempts in a row that produced nothing.
	idle int
}

func (r *run) execute() {
	if !r.entry.MaySend() {
		// Another instance sent the call before it moved here.
		r.fail(errInterrupted)
		return
	}
	if !r.claim() {
		return
	}
	var kv *engine.KVHandle
	for {
		t, err := r.begin(kv)
		if err != nil {
			r.fail(err)
			return
		}
		var again bool
		kv, again = r.supervise(t)
		if !again {
			r.cancelLive()
			return
		}
	}
}

// begin chooses an endpoint and starts an attempt there. While no endpoint is
// available it waits, at most until the deadline.
func (r *run) begin(kv *engine.KVHandle) (*try, error) {
	choice, err := r.choose()
	if err != nil {
		return nil, err
	}
	number, resume, err := r.entry.BeginAttempt()
	if err != nil {
		choice.Feedback.Finished(time.Now(), Report{Result: request.ResultUnsent})
		return nil, err
	}
	return r.launch(choice, number, resume, kv), nil
}

func (r *run) choose() (Choice, error) {
	wait := r.runner.cfg.MinBackoff
	for {
		choice, err := r.runner.deps.Chooser.Choose(time.Now(), r.query(false))
		if !errors.Is(err, ErrNoEndpoint) {
			return choice, err
		}
		if err := r.sleep(wait); err != nil {
			return Choice{}, errors.Join(ErrNoEndpoint, err)
		}
		wait = min(2*wait, r.runner.cfg.MaxBackoff)
	}
}

func (r *run) query(hedge bool) Query {
	_, tokens := r.entry.Position()
	return Query{
		RequestID: r.spec.ID.String(), Team: r.spec.Team, Service: r.spec.Service, Kind: r.spec.Kind,
		Completion: r.spec.Completion, PromptTokens: r.spec.PromptTokens, GeneratedTokens: tokens,
		Deadline: r.spec.Deadline, Attempt: r.entry.LastAttempt() + 1, Hedge: hedge, Avoid: r.avoid,
	}
}

func (r *run) launch(choice Choice, number int, resume []string, kv *engine.KVHandle) *try {
	ctx, cancel := context.WithCancel(r.ctx)
	t := &try{
		number: number, choice: choice, resume: resume, kv: kv, ctx: ctx, cancel: cancel,
		leave: make(chan time.Time, 1), sent: time.Now(), next: len(resume),
	}
	r.live = append(r.live, t)
	r.runner.register(t)
	r.record(timeline.KindAttempt, t, "start", "")
	r.runner.work.start(func() { r.perform(t) })
	return t
}

// perform runs one attempt and reports its end to the run, if that still waits.
func (r *run) perform(t *try) {
	e := r.attempt(t)
	t.cancel()
	r.runner.unregister(t)
	r.entry.EndAttempt(t.number, e.result)
	t.choice.Feedback.Finished(time.Now(), e.report())
	select {
	case r.ends <- e:
	case <-r.stop:
	}
}

func (r *run) attempt(t *try) end {
	if r.spec.Kind == catalog.KindModel {
		return r.stream(t)
	}
	return r.call(t)
}

func (e *end) report() Report {
	report := Report{Result: e.result}
	if e.finish != nil {
		report.Usage = e.finish.Usage
		report.Status = e.finish.Status
	}
	return report
}

// sleep waits, or returns the error that ends the run.
func (r *run) sleep(wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	}
}

func (r *run) record(kind timeline.Kind, t *try, step, detail string) {
	event := timeline.Event{Kind: kind, Request: r.spec.ID.String(), Team: r.spec.Team, Step: step, Detail: detail}
	if t != nil {
		event.Attempt = t.number
		event.Endpoint = t.choice.Endpoint
	}
	r.runner.deps.Recorder.Record(event)
}
