// Package backend runs the attempts of requests against model engines and
// plain services. A Runner owns all retries and hedges of a request.
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

	// work counts running requests and cancellations in the background.
	work tasks

	mu sync.Mutex // guards the fields below
	// tries are the running attempts at each endpoint.
	tries map[string]map[*try]struct{}
	// leaving are the ends of notices of leaving endpoints.
	leaving map[string]time.Time
}

// Deps are what a Runner needs from other packages.
type Deps struct {
	Chooser Chooser
	Retrier Retrier
	Claimer Claimer
	Caller  Caller
	// Answers gives the answers of requests that hold a claim, here or at other instances.
	Answers  request.Attacher
	Recorder timeline.Recorder
}

// NewRunner returns a Runner.
func NewRunner(lg *slog.Logger, cfg Config, deps Deps) *Runner {
	return &Runner{
		lg: lg, cfg: cfg.withDefaults(), deps: deps,
		tries: make(map[string]map[*try]struct{}), leaving: make(map[string]time.Time),
	}
}

// Start runs an admitted request to its end. It does not block.
func (r *Runner) Start(entry *request.Entry) {
	r.work.start(func() { r.run(entry) })
}

// Wait returns when all started requests have ended.
func (r *Runner) Wait() {
	r.work.wait()
}

func (r *Runner) run(entry *request.Entry) {
	stopped, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	entry.SetCancel(func() { cancel(request.ErrMoved) })
	ctx, expire := context.WithDeadline(stopped, entry.Spec().Deadline)
	defer expire()
	stop := make(chan struct{})
	defer close(stop)
	run := &run{
		runner: r, entry: entry, spec: entry.Spec(), ctx: ctx,
		ends: make(chan end), won: make(chan *try, 1), stop: stop,
	}
	run.execute()
}

// EndpointLeaving tells that an endpoint ends at the given time. Model work
// that runs there moves to other endpoints. Repeated notices are ignored.
func (r *Runner) EndpointLeaving(endpoint string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.leaving[endpoint]; known {
		return
	}
	r.forgetLeft()
	r.leaving[endpoint] = until
	for t := range r.tries[endpoint] {
		t.notify(until)
	}
}

// leftKept is how long a leaving endpoint is remembered after its end.
const leftKept = time.Minute

func (r *Runner) forgetLeft() {
	for endpoint, until := range r.leaving {
		if time.Since(until) > leftKept {
			delete(r.leaving, endpoint)
		}
	}
}

func (r *Runner) register(t *try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tries := r.tries[t.choice.Endpoint]
	if tries == nil {
		tries = make(map[*try]struct{})
		r.tries[t.choice.Endpoint] = tries
	}
	tries[t] = struct{}{}
	if until, leaving := r.leaving[t.choice.Endpoint]; leaving {
		t.notify(until)
	}
}

func (r *Runner) unregister(t *try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tries[t.choice.Endpoint], t)
	if len(r.tries[t.choice.Endpoint]) == 0 {
		delete(r.tries, t.choice.Endpoint)
	}
}
