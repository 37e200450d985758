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

// ErrServiceBroken tells that a plain service gave no answer; the call may have run.
var ErrServiceBroken = errors.New("standin: no answer from the service")

// Service is a stand-in for a plain service, such as one that charges deposits
// (POST /deposits) or sends notices (POST /dispatches). Each execution of a
// call with an unsafe method counts; calls with a safe method change nothing.
type Service struct {
	*Server
	// Faults are the faults in force. Operations are the methods, and Call.Name
	// is the path. FaultLag makes the answer late after the call has run.
	Faults Faults

	cfg  ServiceConfig
	life context.Context
	end  context.CancelFunc
	// workers holds a value for each running call.
	workers chan struct{}

	mu         sync.Mutex // guards the fields below
	slowdown   float64
	leaving    bool
	late       lateArrivals
	waiting    int
	running    int
	load       loadHistory
	executions []Execution
	byKey      map[string]*keyedAnswer
}

// keyedAnswer is the answer of the first call with a key; done is closed when it is there.
type keyedAnswer struct {
	done   chan struct{}
	answer ServiceAnswer
}

// NewService returns a plain service.
func NewService(lg *slog.Logger, cfg ServiceConfig) *Service {
	cfg = cfg.withDefaults()
	s := &Service{
		cfg: cfg, slowdown: 1, workers: make(chan struct{}, cfg.Workers), byKey: make(map[string]*keyedAnswer),
	}
	s.life, s.end = context.WithCancel(context.Background())
	s.Server = newServer(lg, "service", s.serveHTTP)
	return s
}

// Do runs a call. A refusal is an answer, and means that the call did not run;
// the only error is ErrServiceBroken.
func (s *Service) Do(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	e := s.Faults.next(Call{Op: call.Method, Name: call.Path, Body: call.Body})
	err := e.before(ctx, s.cfg.Clock, errUnavailable, errRefused)
	switch {
	case errors.Is(err, errRefused):
		return refusedAnswer(fasthttp.StatusTooManyRequests, e.retryAfter, "refused"), nil
	case err != nil && e.outage:
		return refusedAnswer(fasthttp.StatusServiceUnavailable, e.retryAfter, "unavailable"), nil
	case err != nil:
		return ServiceAnswer{}, ErrServiceBroken
	}
	answer, err := s.admit(ctx, call)
	if err == nil && sleep(ctx, s.cfg.Clock, e.lag) != nil {
		err = ErrServiceBroken
	}
	return answer, e.after(ctx, err, ErrServiceBroken)
}

var (
	errUnavailable = errors.New("standin: unavailable")
	errRefused     = errors.New("standin: refused")
)

// admit waits for a worker, or refuses the call.
func (s *Service) admit(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	if answer, refused := s.enter(); refused {
		return answer, nil
	}
	select {
	case s.workers <- struct{}{}:
		s.count(-1, 1)
	case <-ctx.Done():
		s.count(-1, 0)
		return ServiceAnswer{}, ErrServiceBroken
	case <-s.life.Done():
		s.count(-1, 0)
		return ServiceAnswer{}, ErrServiceBroken
	}
	defer func() {
		<-s.workers
		s.count(0, -1)
	}()
	if s.life.Err() != nil {
		return ServiceAnswer{}, ErrServiceBroken
	}
	return s.run(call)
}

// enter counts a waiting call, or returns the refusal.
func (s *Service) enter() (ServiceAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		s.late.add(s.cfg.Clock.Now())
		return refusedAnswer(fasthttp.StatusServiceUnavailable, 0, engine.StatusLeaving), true
	}
	if s.waiting >= s.cfg.Queue {
		return refusedAnswer(fasthttp.StatusTooManyRequests, time.Second, "queue full"), true
	}
	s.waiting++
	s.sample()
	return ServiceAnswer{}, false
}

func (s *Service) count(waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
	s.sample()
}

// sample records the present load. The caller holds s.mu.
func (s *Service) sample() {
	s.load.add(s.cfg.Clock.Now(), engine.LoadReport{Running: s.running, Queued: s.waiting, Leaving: s.leaving})
}

// run executes a call. A call that runs is not stopped by its caller, only by
// the end of the service.
func (s *Service) run(call ServiceCall) (ServiceAnswer, error) {
	if call.safe() {
		return s.work(answerTo(call, 0))
	}
	if !s.cfg.Deduplicates || call.Key == "" {
		return s.work(answerTo(call, s.execute(call)))
	}
	keyed, first := s.claim(call.Key)
	if !first {
		return s.stored(keyed)
	}
	answer, err := s.work(answerTo(call, s.execute(call)))
	keyed.answer = answer
	close(keyed.done)
	return answer, err
}

func (s *Service) claim(key string) (keyed *keyedAnswer, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyed, ok := s.byKey[key]
	if !ok {
		keyed = &keyedAnswer{done: make(chan struct{})}
		s.byKey[key] = keyed
	}
	return keyed, !ok
}

func (s *Service) stored(keyed *keyedAnswer) (ServiceAnswer, error) {
	select {
	case <-keyed.done:
	case <-s.life.Done():
	}
	if s.life.Err() != nil {
		return ServiceAnswer{}, ErrServiceBroken
	}
	return keyed.answer, nil
}

// execute records an execution and returns its number.
func (s *Service) execute(call ServiceCall) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.executions) + 1
	s.executions = append(s.executions, Execution{Number: number, Path: call.Path, Key: call.Key, Body: string(call.Body)})
	return number
}

// work takes the service time.
func (s *Service) work(answer ServiceAnswer) (ServiceAnswer, error) {
	s.mu.Lock()
	duration := time.Duration(float64(s.cfg.ServiceTime) * s.slowdown)
	s.mu.Unlock()
	if sleep(s.life, s.cfg.Clock, duration) != nil {
		return ServiceAnswer{}, ErrServiceBroken
	}
	return answer, nil
}

// Load returns the load of LoadLag ago.
func (s *Service) Load() engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load.at(s.cfg.Clock.Now().Add(-s.cfg.LoadLag))
}

// SetSlowdown makes each call take factor times as long.
func (s *Service) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Leave is a reclaim notice: the service takes no new calls from now on, and ends after notice.
func (s *Service) Leave(notice time.Duration) {
	s.mu.Lock()
	s.leaving = true
	s.late.setNotice(s.cfg.Clock.Now())
	s.sample()
	s.mu.Unlock()
	runAfter(s.life, s.cfg.Clock, notice, func() { _ = s.Close() })
}

// LateArrivals counts the calls that arrived more than grace after the service
// began to leave. They were refused.
func (s *Service) LateArrivals(grace time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late.countAfter(grace)
}

// Close ends the service at once; calls in progress get no answer.
func (s *Service) Close() error {
	s.end()
	return s.Server.Close()
}

// Executions returns the non-idempotent calls that ran, in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// RunsByKey counts the executions of each Idempotency-Key.
func (s *Service) RunsByKey() map[string]int {
	runs := make(map[string]int)
	for _, execution := range s.Executions() {
		if execution.Key != "" {
			runs[execution.Key]++
		}
	}
	return runs
}

// RunsByBody counts the executions of each body.
func (s *Service) RunsByBody() map[string]int {
	runs := make(map[string]int)
	for _, execution := range s.Executions() {
		runs[execution.Body]++
	}
	return runs
}

func answerTo(call ServiceCall, execution int) ServiceAnswer {
	status := fasthttp.StatusOK
	if execution > 0 && call.Method == fasthttp.MethodPost {
		status = fasthttp.StatusCreated
	}
	return ServiceAnswer{Status: status, Body: encodeAnswer(map[string]any{
		"method": call.Method, "path": call.Path, "bytes": len(call.Body), "execution": execution,
	})}
}

func refusedAnswer(status int, after time.Duration, reason string) ServiceAnswer {
	body := encodeAnswer(engine.ProblemBody{Error: "the call did not run", Status: reason})
	return ServiceAnswer{Status: status, Body: body, RetryAfter: after}
}

func encodeAnswer(value any) []byte {
	// The values are maps and structs of plain fields, which always encode.
	body, _ := json.Marshal(value)
	return body
}
