// Package backend runs admitted requests against model engines and plain services. Each entry instance has one Runner and
// calls Start for each request that it admits or takes over. The Runner obtains the claim for a call with an
// Idempotency-Key, starts attempts, retries and hedges, moves model work away from leaving endpoints, and finishes the
// request. Only the Runner repeats work; Caller and engine.Engine send each attempt once.
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
	// Attacher reads the answer of another request, on this or another instance, that holds the claim of the same key.
	Attacher request.Attacher
	Recorder timeline.Recorder
}

// NewRunner returns a Runner without running requests.
func NewRunner(lg *slog.Logger, cfg Config, deps Deps) *Runner {
	return &Runner{
		lg: lg, cfg: cfg.withDefaults(), deps: deps,
		attempts: make(map[string]map[*attempt]struct{}), leaving: make(map[string]time.Time),
	}
}

// Start runs an admitted request in new goroutines until it has finished or was handed over to another instance. It does
// not block.
func (r *Runner) Start(entry *request.Entry) {
	r.tasks.start(func() { r.run(entry) })
}

// Wait blocks until all started requests, and the cancellations of their attempts at engines, have ended.
func (r *Runner) Wait() {
	r.tasks.wait()
}

func (r *Runner) run(entry *request.Entry) {
	parent, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	entry.SetCancel(func() { cancel(request.ErrMoved) })
	ctx, cancelDeadline := context.WithDeadline(parent, entry.Spec().Deadline)
	defer cancelDeadline()
	done := make(chan struct{})
	defer close(done)
	rn := &run{
		runner: r, entry: entry, spec: entry.Spec(), ctx: ctx,
		ends: make(chan attemptEnd), firstTokens: make(chan *attempt, 1), done: done,
	}
	rn.execute()
}

// EndpointLeaving must be called when an endpoint announces that it will stop at endsAt. Model work that runs there moves
// to other endpoints. Further notices for the endpoint are ignored while the first one is kept, which is at least until
// leavingRetention after the announced end.
func (r *Runner) EndpointLeaving(endpoint string, endsAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.leaving[endpoint]; known {
		return
	}
	r.forgetEndedEndpoints()
	r.leaving[endpoint] = endsAt
	for a := range r.attempts[endpoint] {
		a.notifyLeaving(endsAt)
	}
}

// leavingRetention is how long, at least, the notice of a leaving endpoint is kept after the announced end.
const leavingRetention = time.Minute

// forgetEndedEndpoints deletes the notices whose announced end is more than leavingRetention ago. The caller holds mu.
func (r *Runner) forgetEndedEndpoints() {
	for endpoint, endsAt := range r.leaving {
		if time.Since(endsAt) > leavingRetention {
			delete(r.leaving, endpoint)
		}
	}
}

// addAttempt records a running attempt, and notifies it if its endpoint is leaving already.
func (r *Runner) addAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts := r.attempts[a.choice.Endpoint]
	if attempts == nil {
		attempts = make(map[*attempt]struct{})
		r.attempts[a.choice.Endpoint] = attempts
	}
	attempts[a] = struct{}{}
	if endsAt, leaving := r.leaving[a.choice.Endpoint]; leaving {
		a.notifyLeaving(endsAt)
	}
}

// removeAttempt removes an attempt that has ended, so that it gets no notice for its endpoint.
func (r *Runner) removeAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts[a.choice.Endpoint], a)
	if len(r.attempts[a.choice.Endpoint]) == 0 {
		delete(r.attempts, a.choice.Endpoint)
	}
}
