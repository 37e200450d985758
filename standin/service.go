package standin

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/engine"
)

// ErrNoAnswer means that a plain service sent no answer; the call may have been executed.
var ErrNoAnswer = errors.New("standin: no answer from the service")

// Service is a stand-in for a plain service, that is, one that runs no model, such as one that
// charges deposits (POST /deposits) or sends notices (POST /dispatches). It records each
// execution of a call with an unsafe method; calls with a safe method change nothing.
type Service struct {
	*Server
	// Faults holds the active faults. The operations are the HTTP methods, and
	// Call.Name is the path. FaultLag delays the answer after the call was executed.
	Faults Faults

	cfg      ServiceConfig
	lifetime context.Context
	cancel   context.CancelFunc
	// workers is a semaphore that holds one value for each running call.
	workers chan struct{}

	mu           sync.Mutex // guards the fields below
	slowdown     float64
	leaving      bool
	lateArrivals lateArrivals
	waiting      int
	running      int
	load         loadHistory
	executions   []Execution
	answersByKey map[string]*keyedAnswer
}

// keyedAnswer is the answer to the first call with a key. done is closed when answer is set.
type keyedAnswer struct {
	done   chan struct{}
	answer ServiceAnswer
}

// NewService returns a Service that accepts calls.
func NewService(lg *slog.Logger, cfg ServiceConfig) *Service {
	cfg = cfg.withDefaults()
	s := &Service{
		cfg: cfg, slowdown: 1, workers: make(chan struct{}, cfg.Workers), answersByKey: make(map[string]*keyedAnswer),
	}
	s.lifetime, s.cancel = context.WithCancel(context.Background())
	s.Server = newServer(lg, "service", s.serveHTTP)
	return s
}

// Do executes a call. A refusal is returned as an answer and means that the call
// was not executed; the only error is ErrNoAnswer.
func (s *Service) Do(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	e := s.Faults.next(Call{Op: call.Method, Name: call.Path, Body: call.Body})
	err := e.before(ctx, s.cfg.Clock, errUnavailable, errRefused)
	switch {
	case errors.Is(err, errRefused):
		return refusedAnswer(fasthttp.StatusTooManyRequests, e.retryAfter, "refused"), nil
	case err != nil && e.outage:
		return refusedAnswer(fasthttp.StatusServiceUnavailable, e.retryAfter, "unavailable"), nil
	case err != nil:
		return ServiceAnswer{}, ErrNoAnswer
	}
	answer, err := s.admit(ctx, call)
	if err == nil && sleep(ctx, s.cfg.Clock, e.lag) != nil {
		err = ErrNoAnswer
	}
	return answer, e.after(ctx, err, ErrNoAnswer)
}

var (
	errUnavailable = errors.New("standin: unavailable")
	errRefused     = errors.New("standin: refused")
)

// admit waits for a free worker and runs the call, or refuses it.
func (s *Service) admit(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	if answer, refused := s.enqueue(); refused {
		return answer, nil
	}
	select {
	case s.workers <- struct{}{}:
		s.adjustCounts(-1, 1)
	case <-ctx.Done():
		s.adjustCounts(-1, 0)
		return ServiceAnswer{}, ErrNoAnswer
	case <-s.lifetime.Done():
		s.adjustCounts(-1, 0)
		return ServiceAnswer{}, ErrNoAnswer
	}
	defer func() {
		<-s.workers
		s.adjustCounts(0, -1)
	}()
	if s.lifetime.Err() != nil {
		return ServiceAnswer{}, ErrNoAnswer
	}
	return s.run(call)
}

// enqueue adds the call to the queue. When the service is leaving or the queue is full, it returns the
// refusal and true.
func (s *Service) enqueue() (ServiceAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		s.lateArrivals.add(s.cfg.Clock.Now())
		return refusedAnswer(fasthttp.StatusServiceUnavailable, 0, engine.StatusLeaving), true
	}
	if s.waiting >= s.cfg.Queue {
		return refusedAnswer(fasthttp.StatusTooManyRequests, time.Second, "queue full"), true
	}
	s.waiting++
	s.recordLoad()
	return ServiceAnswer{}, false
}

func (s *Service) adjustCounts(waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
	s.recordLoad()
}

// recordLoad records the current load. The caller holds s.mu.
func (s *Service) recordLoad() {
	s.load.add(s.cfg.Clock.Now(), engine.LoadReport{Running: s.running, Queued: s.waiting, Leaving: s.leaving})
}

// run executes a call, once per key if the service deduplicates. Cancelling the
// caller's context does not stop it; closing the service does.
func (s *Service) run(call ServiceCall) (ServiceAnswer, error) {
	if call.isSafe() {
		return s.finish(newAnswer(call, 0))
	}
	if !s.cfg.Deduplicates || call.Key == "" {
		return s.finish(newAnswer(call, s.recordExecution(call)))
	}
	keyed, first := s.claimKey(call.Key)
	if !first {
		return s.awaitAnswer(keyed)
	}
	answer, err := s.finish(newAnswer(call, s.recordExecution(call)))
	keyed.answer = answer
	close(keyed.done)
	return answer, err
}

func (s *Service) claimKey(key string) (keyed *keyedAnswer, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyed, ok := s.answersByKey[key]
	if !ok {
		keyed = &keyedAnswer{done: make(chan struct{})}
		s.answersByKey[key] = keyed
	}
	return keyed, !ok
}

func (s *Service) awaitAnswer(keyed *keyedAnswer) (ServiceAnswer, error) {
	select {
	case <-keyed.done:
	case <-s.lifetime.Done():
	}
	if s.lifetime.Err() != nil {
		return ServiceAnswer{}, ErrNoAnswer
	}
	return keyed.answer, nil
}

// recordExecution records an execution and returns its number.
func (s *Service) recordExecution(call ServiceCall) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.executions) + 1
	s.executions = append(s.executions, Execution{Number: number, Path: call.Path, Key: call.Key, Body: string(call.Body)})
	return number
}

// finish waits for the service time, then returns answer.
func (s *Service) finish(answer ServiceAnswer) (ServiceAnswer, error) {
	s.mu.Lock()
	duration := time.Duration(float64(s.cfg.ServiceTime) * s.slowdown)
	s.mu.Unlock()
	if sleep(s.lifetime, s.cfg.Clock, duration) != nil {
		return ServiceAnswer{}, ErrNoAnswer
	}
	return answer, nil
}

// Load returns the load as it was LoadLag ago.
func (s *Service) Load() engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load.reportAt(s.cfg.Clock.Now().Add(-s.cfg.LoadLag))
}

// SetSlowdown multiplies the service time of each call by factor.
func (s *Service) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Leave simulates a reclaim notice: the service refuses new calls from now on, and closes after notice.
func (s *Service) Leave(notice time.Duration) {
	s.mu.Lock()
	s.leaving = true
	s.lateArrivals.setNotice(s.cfg.Clock.Now())
	s.recordLoad()
	s.mu.Unlock()
	runAfter(s.lifetime, s.cfg.Clock, notice, func() { _ = s.Close() })
}

// LateArrivals returns the number of refused calls that arrived more than grace
// after Leave.
func (s *Service) LateArrivals(grace time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateArrivals.countAfter(grace)
}

// Close stops the service immediately; calls in progress get no answer.
func (s *Service) Close() error {
	s.cancel()
	return s.Server.Close()
}

// Executions returns the executions of calls with an unsafe method, in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// ExecutionsByKey returns the number of executions of each Idempotency-Key.
func (s *Service) ExecutionsByKey() map[string]int {
	counts := make(map[string]int)
	for _, execution := range s.Executions() {
		if execution.Key != "" {
			counts[execution.Key]++
		}
	}
	return counts
}

// ExecutionsByBody returns the number of executions of each body.
func (s *Service) ExecutionsByBody() map[string]int {
	counts := make(map[string]int)
	for _, execution := range s.Executions() {
		counts[execution.Body]++
	}
	return counts
}

func newAnswer(call ServiceCall, execution int) ServiceAnswer {
	status := fasthttp.StatusOK
	if execution > 0 && call.Method == fasthttp.MethodPost {
		status = fasthttp.StatusCreated
	}
	return ServiceAnswer{Status: status, Body: encodeAnswer(map[string]any{
		"method": call.Method, "path": call.Path, "bytes": len(call.Body), "execution": execution,
	})}
}

func refusedAnswer(status int, retryAfter time.Duration, reason string) ServiceAnswer {
	body := encodeAnswer(engine.ProblemBody{Error: "the call did not run", Status: reason})
	return ServiceAnswer{Status: status, Body: body, RetryAfter: retryAfter}
}

func encodeAnswer(value any) []byte {
	// The values are maps and structs of basic types, so Marshal cannot fail.
	body, _ := json.Marshal(value)
	return body
}
