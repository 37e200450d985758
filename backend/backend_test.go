package backend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/invariant"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// script defines how a fakeEngine answers one attempt.
type script struct {
	// tokens is the number of tokens of the whole answer, sent one per interval before err or the finish.
	tokens   int
	interval time.Duration
	err      error
	// open leaves the stream open after the finish, until the attempt is cancelled.
	open bool
}

// fakeEngine answers each attempt with the next script; the last script is repeated.
type fakeEngine struct {
	engine.Engine
	name    string
	scripts []script
	// delay is the wait before each attempt starts its script.
	delay time.Duration

	mu                sync.Mutex
	requests          []engine.Request
	cancelledAttempts []int
	imported          []engine.KVHandle
}

func (e *fakeEngine) next(work engine.Request) script {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.scripts[min(len(e.requests), len(e.scripts)-1)]
	e.requests = append(e.requests, work)
	return s
}

func (e *fakeEngine) Stream(ctx context.Context, work engine.Request, yield func(engine.Event) error) error {
	s := e.next(work)
	time.Sleep(e.delay)
	from := 0
	if work.Resume != nil {
		from = len(work.Resume.Tokens)
	}
	for i := from; i < s.tokens; i++ {
		select {
		case <-time.After(s.interval):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", engine.ErrBroken, ctx.Err())
		}
		if err := yield(engine.Event{Index: i, Token: fmt.Sprintf("%d ", i)}); err != nil {
			return err
		}
	}
	if s.err != nil {
		return s.err
	}
	err := yield(engine.Event{Index: s.tokens, FinishReason: "stop", Usage: &engine.Usage{}})
	if s.open && err == nil {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", engine.ErrBroken, ctx.Err())
	}
	return err
}

func (e *fakeEngine) Cancel(_ context.Context, _ string, attempt int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelledAttempts = append(e.cancelledAttempts, attempt)
	return nil
}

func (e *fakeEngine) ExportKV(context.Context, string, int) (engine.KVHandle, error) {
	time.Sleep(100 * time.Millisecond)
	return engine.KVHandle{ID: "kv-" + e.name}, nil
}

func (e *fakeEngine) ImportKV(_ context.Context, handle engine.KVHandle) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported = append(e.imported, handle)
	return nil
}

// fakePolicy is the Chooser, Retrier and Feedback of a test. It chooses the first engine that is not in Query.Avoid, or
// address for a plain service.
type fakePolicy struct {
	engines []*fakeEngine
	address string
	// hedgeAfter is the time after which a hedge starts; 0 means never.
	hedgeAfter time.Duration
	denyRetry  bool

	mu sync.Mutex
	// results holds the results of the attempts in the order in which they ended.
	results []request.AttemptResult
	// failures holds the arguments of the calls of Retry.
	failures []Failure
}

func (p *fakePolicy) Choose(_ time.Time, query Query) (Choice, error) {
	if query.Kind == catalog.KindPlain && p.address != "" {
		return Choice{Endpoint: p.address, Address: p.address, Feedback: p}, nil
	}
	for _, e := range p.engines {
		if !slices.Contains(query.Avoid, e.name) {
			return Choice{Endpoint: e.name, Engine: e, Feedback: p}, nil
		}
	}
	return Choice{}, ErrNoEndpoint
}

func (p *fakePolicy) Retry(_ time.Time, failure Failure) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, failure)
	return 10 * time.Millisecond, !p.denyRetry
}

func (p *fakePolicy) Hedge(_ time.Time, slow SlowAttempt) (bool, time.Duration) {
	if p.hedgeAfter == 0 {
		return false, 0
	}
	return slow.Elapsed >= p.hedgeAfter, p.hedgeAfter - slow.Elapsed
}

func (*fakePolicy) RecordSuccess(string) {}
func (*fakePolicy) Sent(time.Time)       {}
func (*fakePolicy) FirstToken(time.Time) {}
func (*fakePolicy) Token(time.Time)      {}

func (p *fakePolicy) Finished(_ time.Time, report Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, report.Result)
}

// fixture holds a Runner and its fakes.
type fixture struct {
	policy     *fakePolicy
	claimer    *fakeClaimer
	registry   *request.Registry
	runner     *Runner
	invariants *invariant.Reporter
}

const incarnation = "01JZZZZZZZZZZZZZZZZZZZZZZZ"

func newFixture(policy *fakePolicy, caller Caller) *fixture {
	lg := slog.New(slog.DiscardHandler)
	f := &fixture{policy: policy, claimer: &fakeClaimer{}, invariants: invariant.NewReporter(lg, timeline.Discard)}
	f.registry = request.NewRegistry(incarnation, f.invariants, request.Config{})
	f.runner = NewRunner(lg, Config{}, Deps{
		Chooser: policy, Retrier: policy, Claimer: f.claimer, Caller: caller, Attacher: f.registry,
		Recorder: timeline.Discard,
	})
	return f
}

func (f *fixture) spec(kind catalog.ServiceKind) request.Spec {
	now := time.Now()
	spec := request.Spec{
		ID: f.registry.NewID(), Team: "a", Service: "s", Kind: kind, Received: now, Deadline: now.Add(time.Minute),
	}
	if kind == catalog.KindModel {
		spec.Completion = &engine.Request{Model: "m"}
	} else {
		spec.Call = &request.Call{Method: "POST", Path: "/"}
	}
	return spec
}

func (f *fixture) start(spec request.Spec) *request.Entry {
	entry, err := f.registry.Create(spec.Received, spec)
	Expect(err).NotTo(HaveOccurred())
	Expect(entry.Admit()).To(Succeed())
	f.runner.Start(entry)
	return entry
}

// awaitAnswer waits until a request finishes, and returns its text and its finish.
func awaitAnswer(entry *request.Entry) (text string, finish *request.Finish) {
	err := entry.Follow(context.Background(), 0, func(event request.Event) error {
		text += string(event.Token)
		finish = event.Finish
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return text, finish
}

// simulate runs a test with a fake clock, and fails it if an invariant was violated.
func simulate(t *testing.T, policy *fakePolicy, caller Caller, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture(policy, caller)
		test(f)
		f.runner.Wait()
		Expect(f.invariants.Counts()).To(BeEmpty())
	})
}

const (
	second      = time.Second
	wholeAnswer = "0 1 2 3 4 "
)

func engineOf(name string, scripts ...script) *fakeEngine {
	return &fakeEngine{name: name, scripts: scripts}
}

var healthy = script{tokens: 5, interval: second}

// Guards against missing or repeated tokens after an attempt breaks in the middle of the answer.
func TestBrokenStreamContinuesElsewhere(t *testing.T) {
	broken := engineOf("e1", script{tokens: 3, interval: second, err: engine.ErrBroken})
	other := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{broken, other}}, nil, func(f *fixture) {
		text, finish := awaitAnswer(f.start(f.spec(catalog.KindModel)))
		Expect(text).To(Equal(wholeAnswer))
		Expect(finish.Outcome).To(Equal(request.OutcomeRan))
		Expect(finish.Usage.CompletionTokens).To(Equal(5))
		f.runner.Wait()
		Expect(other.requests[0].Resume.Tokens).To(HaveLen(3))
		Expect(other.requests[0].Attempt).To(Equal(2))
		Expect(broken.cancelledAttempts).To(Equal([]int{1}))
		Expect(f.policy.failures).To(HaveLen(1))
		Expect(f.policy.failures[0].DeliveredTokens).To(BeTrue(), "an attempt that delivered tokens must be reported as such, so that its retry needs no budget")
		Expect(f.policy.results).To(Equal([]request.AttemptResult{request.ResultBroken, request.ResultDone}))
	})
}

// Guards against a complete answer that is held, and then reported as failed at the deadline, because its engine does not end the
// stream.
func TestStreamWithoutEndIsCompleteAfterItsFinish(t *testing.T) {
	open := engineOf("e1", script{tokens: 5, interval: second, open: true})
	simulate(t, &fakePolicy{engines: []*fakeEngine{open}}, nil, func(f *fixture) {
		begin := time.Now()
		text, finish := awaitAnswer(f.start(f.spec(catalog.KindModel)))
		Expect(text).To(Equal(wholeAnswer))
		Expect(finish.Outcome).To(Equal(request.OutcomeRan))
		Expect(finish.FinishReason).To(Equal("stop"))
		Expect(time.Since(begin)).To(Equal(5*second + streamEndTime))
		f.runner.Wait()
		Expect(f.policy.results).To(Equal([]request.AttemptResult{request.ResultDone}))
	})
}

// Guards against the loss of a reclaimed endpoint's work, and against a recomputation although there was time to export
// the KV cache.
func TestReclaimedEndpointHandsItsWorkOn(t *testing.T) {
	leaving := engineOf("e1", healthy)
	other := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{leaving, other}}, nil, func(f *fixture) {
		entry := f.start(f.spec(catalog.KindModel))
		time.Sleep(1500 * time.Millisecond)
		f.runner.EndpointLeaving("e1", time.Now().Add(6*second))
		text, _ := awaitAnswer(entry)
		Expect(text).To(Equal(wholeAnswer))
		f.runner.Wait()
		Expect(other.requests[0].Resume.Tokens).To(HaveLen(2))
		Expect(other.requests[0].Resume.KVHandle).To(Equal("kv-e1"))
		Expect(leaving.cancelledAttempts).To(Equal([]int{1}))
	})
}

// Guards against a move that is delayed by a KV cache export which cannot end before the endpoint does.
func TestShortNoticeMovesAtOnce(t *testing.T) {
	leaving := engineOf("e1", healthy)
	other := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{leaving, other}}, nil, func(f *fixture) {
		entry := f.start(f.spec(catalog.KindModel))
		time.Sleep(1500 * time.Millisecond)
		f.runner.EndpointLeaving("e1", time.Now().Add(100*time.Millisecond))
		synctest.Wait()
		Expect(other.requests).To(HaveLen(1))
		Expect(other.requests[0].Resume.KVHandle).To(BeEmpty())
		text, _ := awaitAnswer(entry)
		Expect(text).To(Equal(wholeAnswer))
	})
}

// Guards against a hedged request with tokens of both attempts, and against a losing attempt that keeps running.
func TestHedgeAnswersOnceAndCancelsTheLoser(t *testing.T) {
	slow := engineOf("e1", script{tokens: 5, interval: 20 * second})
	fast := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{slow, fast}, hedgeAfter: second}, nil, func(f *fixture) {
		start := time.Now()
		text, _ := awaitAnswer(f.start(f.spec(catalog.KindModel)))
		Expect(text).To(Equal(wholeAnswer))
		Expect(time.Since(start)).To(Equal(6 * second))
		f.runner.Wait()
		Expect(slow.cancelledAttempts).To(Equal([]int{1}))
	})
}

// Guards against outcome not_run for work that may have run, and against outcome unknown for work that
// provably did not run.
func TestOutcomesAreProved(t *testing.T) {
	for name, c := range map[string]struct {
		policy  *fakePolicy
		outcome request.Outcome
		status  int
	}{
		"no endpoint": {&fakePolicy{}, request.OutcomeNotRun, 503},
		"refused":     {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: engine.ErrRefused})}, denyRetry: true}, request.OutcomeNotRun, 503},
		"broken":      {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: engine.ErrBroken})}, denyRetry: true}, request.OutcomeUnknown, 502},
		"deadline":    {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{tokens: 99, interval: second})}}, request.OutcomeUnknown, 504},
		"leaving":     {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: engine.ErrLeaving}), engineOf("e2", healthy)}, denyRetry: true}, request.OutcomeRan, 0},
		"other error": {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: errors.New("other")})}, denyRetry: true}, request.OutcomeUnknown, 502},
		"all broken":  {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: engine.ErrBroken})}}, request.OutcomeUnknown, 503},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, c.policy, nil, func(f *fixture) {
				_, finish := awaitAnswer(f.start(f.spec(catalog.KindModel)))
				Expect(finish.Outcome).To(Equal(c.outcome))
				Expect(finish.Status).To(Equal(c.status))
			})
		})
	}
}

// Guards against attempts that keep running after the request moved to a peer.
func TestMovedRequestStopsItsAttempts(t *testing.T) {
	running := engineOf("e1", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{running}}, nil, func(f *fixture) {
		entry := f.start(f.spec(catalog.KindModel))
		time.Sleep(1500 * time.Millisecond)
		Expect(entry.Move()).To(Succeed())
		f.runner.Wait()
		Expect(running.cancelledAttempts).To(Equal([]int{1}))
		Expect(entry.Follow(context.Background(), 1, func(request.Event) error { return nil })).To(MatchError(request.ErrMoved))
	})
}

// Guards against generating an answer again that was completed during the export of its KV cache.
func TestAnswerThatEndsDuringTheExportCounts(t *testing.T) {
	leaving := engineOf("e1", script{tokens: 2, interval: second})
	other := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{leaving, other}}, nil, func(f *fixture) {
		entry := f.start(f.spec(catalog.KindModel))
		time.Sleep(1950 * time.Millisecond)
		f.runner.EndpointLeaving("e1", time.Now().Add(5*second))
		text, finish := awaitAnswer(entry)
		Expect(text).To(Equal("0 1 "))
		Expect(finish.Outcome).To(Equal(request.OutcomeRan))
		f.runner.Wait()
		Expect(other.requests).To(BeEmpty())
	})
}

// Guards against a hedge whose endpoint leaves, but whose work does not move because the first attempt has failed.
func TestHedgeTakesTheFailedAttemptsPlace(t *testing.T) {
	failing := engineOf("e1", script{tokens: 0, err: engine.ErrBroken})
	slow := engineOf("e2", script{tokens: 5, interval: 20 * second})
	last := engineOf("e3", healthy)
	failing.delay = 2 * second
	simulate(t, &fakePolicy{engines: []*fakeEngine{failing, slow, last}, hedgeAfter: second}, nil, func(f *fixture) {
		entry := f.start(f.spec(catalog.KindModel))
		time.Sleep(3 * second)
		f.runner.EndpointLeaving("e2", time.Now().Add(5*second))
		text, _ := awaitAnswer(entry)
		Expect(text).To(Equal(wholeAnswer))
		Expect(last.requests).To(HaveLen(1))
	})
}
