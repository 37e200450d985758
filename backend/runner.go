// Package backend runs admitted requests against model engines and plain services. The entry instance starts a Runner
// for each request that it admits. The Runner obtains the claim of a keyed call, starts attempts, retries and hedges,
// moves model work away from leaving endpoints, and finishes the request. It owns all retries and hedges: Caller and
// engine.Engine send each attempt once.
package backend

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	lg   *slog.Logger
	cfg  Config
	deps Deps

	// tasks counts the goroutines of requests, of their attempts and of cancellations at engines.
	tasks taskGroup

	mu sync.Mutex // guards the fields below
	// attempts holds the running attempts by endpoint.
	attempts map[string]map[*attempt]struct{}
	// leaving holds the announced end of each leaving endpoint.
	leaving map[string]time.Time
}

// Deps holds the dependencies of a Runner.
type Deps struct {
	Chooser Chooser
	Retrier Retrier
	Claimer Claimer
	Caller  Caller
	// Answers attaches to the requests that hold a claim, at this or another instance, and delivers their answers.
	Answers  request.Attacher
	Recorder timeline.Recorder
}

// NewRunner returns a Runner without running requests.
func NewRunner(lg *slog.Logger, cfg Config, deps Deps) *Runner {
	return &Runner{
		lg: lg, cfg: cfg.withDefaults(), deps: deps,
		attempts: make(map[string]map[*attempt]struct{}), leaving: make(map[string]time.Time),
	}
}

// Start runs an admitted request in new goroutines until it has finished or moved. It does not block.
func (r *Runner) Start(entry *request.Entry) {
	r.tasks.start(func() { r.run(entry) })
}

// Wait blocks until all started requests, and the cancellations of their attempts at engines, have ended.
func (r *Runner) Wait() {
	r.tasks.wait()
}

func (r *Runner) run(entry *request.Entry) {
	stopped, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	entry.SetCancel(func() { cancel(request.ErrMoved) })
	ctx, expire := context.WithDeadline(stopped, entry.Spec().Deadline)
	defer expire()
	done := make(chan struct{})
	defer close(done)
	run := &run{
		runner: r, entry: entry, spec: entry.Spec(), ctx: ctx,
		ends: make(chan attemptEnd), firstTokens: make(chan *attempt, 1), done: done,
	}
	run.execute()
}

// EndpointLeaving handles the notice that the endpoint ends at the given time. Model work that runs there moves to
// other endpoints. Further notices for the endpoint are ignored.
func (r *Runner) EndpointLeaving(endpoint string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.leaving[endpoint]; known {
		return
	}
	r.removeExpired()
	r.leaving[endpoint] = until
	for a := range r.attempts[endpoint] {
		a.notifyLeaving(until)
	}
}

// leavingRetention is how long the notice of a leaving endpoint is kept after the announced end.
const leavingRetention = time.Minute

func (r *Runner) removeExpired() {
	for endpoint, until := range r.leaving {
		if time.Since(until) > leavingRetention {
			delete(r.leaving, endpoint)
		}
	}
}

func (r *Runner) register(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts := r.attempts[a.choice.Endpoint]
	if attempts == nil {
		attempts = make(map[*attempt]struct{})
		r.attempts[a.choice.Endpoint] = attempts
	}
	attempts[a] = struct{}{}
	if until, leaving := r.leaving[a.choice.Endpoint]; leaving {
		a.notifyLeaving(until)
	}
}

func (r *Runner) unregister(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts[a.choice.Endpoint], a)
	if len(r.attempts[a.choice.Endpoint]) == 0 {
		delete(r.attempts, a.choice.Endpoint)
	}
}
