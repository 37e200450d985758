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

// run executes one request. Its goroutine starts and cancels all attempts, and alone uses running, avoid and
// unproductiveAttempts; each attempt streams or calls in a separate goroutine.
type run struct {
	runner *Runner
	entry  *request.Entry
	spec   *request.Spec
	ctx    context.Context
	// ends receives the end of each attempt.
	ends chan attemptEnd
	// firstTokens receives each attempt that has delivered its first token. The first of two attempts wins the hedge.
	firstTokens chan *attempt
	// done is closed when the run ends, so that attempts stop sending to ends.
	done chan struct{}
	// running holds the running attempts; two during a hedge.
	running []*attempt
	// avoid holds the endpoints at which attempts failed or from which work moved, oldest first.
	avoid []string
	// unproductiveAttempts counts the moves and the failed attempts without a token since the last failed attempt that
	// delivered one.
	unproductiveAttempts int
}

func (r *run) execute() {
	if !r.entry.MaySend() {
		// Another instance sent the call before the request moved here, and the call must not be repeated.
		r.fail(errInterrupted)
		return
	}
	if !r.claim() {
		return
	}
	var kv *engine.KVHandle
	for {
		a, err := r.startAttempt(kv)
		if err != nil {
			r.fail(err)
			return
		}
		var startNext bool
		kv, startNext = r.supervise(a)
		if !startNext {
			r.cancelRunning()
			return
		}
	}
}

// startAttempt chooses an endpoint and starts an attempt there. While no endpoint is available it waits with
// exponential backoff, at most until the deadline.
func (r *run) startAttempt(kv *engine.KVHandle) (*attempt, error) {
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

func (r *run) launch(choice Choice, number int, resume []string, kv *engine.KVHandle) *attempt {
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{
		number: number, choice: choice, resume: resume, kv: kv, ctx: ctx, cancel: cancel,
		endpointEnd: make(chan time.Time, 1), started: time.Now(), nextIndex: len(resume),
	}
	r.running = append(r.running, a)
	r.runner.addAttempt(a)
	r.record(timeline.KindAttempt, a, "start", "")
	r.runner.tasks.start(func() { r.runAttempt(a) })
	return a
}

// runAttempt runs one attempt and sends its end to the run, unless the run has ended.
func (r *run) runAttempt(a *attempt) {
	e := r.callEndpoint(a)
	a.cancel()
	r.runner.removeAttempt(a)
	r.entry.EndAttempt(a.number, e.result)
	a.choice.Feedback.Finished(time.Now(), e.report())
	select {
	case r.ends <- e:
	case <-r.done:
	}
}

func (r *run) callEndpoint(a *attempt) attemptEnd {
	if r.spec.Kind == catalog.KindModel {
		return r.stream(a)
	}
	return r.callPlainService(a)
}

func (e *attemptEnd) report() Report {
	report := Report{Result: e.result}
	if e.finish != nil {
		report.Usage = e.finish.Usage
		report.Status = e.finish.Status
	}
	return report
}

// sleep waits for the given time. If the run's context ends first, it returns the cause.
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

func (r *run) record(kind timeline.Kind, a *attempt, step, detail string) {
	event := timeline.Event{Kind: kind, Request: r.spec.ID.String(), Team: r.spec.Team, Step: step, Detail: detail}
	if a != nil {
		event.Attempt = a.number
		event.Endpoint = a.choice.Endpoint
	}
	r.runner.deps.Recorder.Record(event)
}
