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

// script is how an endpoint answers one attempt.
type script struct {
	// tokens are sent in this many steps, one each interval, before err or the finish.
	tokens   int
	interval time.Duration
	err      error
}

// fakeEngine follows its scripts, one for each attempt; the last one repeats.
type fakeEngine struct {
	engine.Engine
	name    string
	scripts []script
	// delay is before each attempt.
	delay time.Duration

	mu       sync.Mutex
	work     []engine.Request
	canceled []int
	imported []engine.KVHandle
}

func (e *fakeEngine) next(work engine.Request) script {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.scripts[min(len(e.work), len(e.scripts)-1)]
	e.work = append(e.work, work)
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
	return yield(engine.Event{Index: s.tokens, Finish: "stop", Usage: &engine.Usage{}})
}

func (e *fakeEngine) Cancel(_ context.Context, _ string, attempt int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = append(e.canceled, attempt)
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

// fakePolicy chooses the first endpoint that is not avoided.
type fakePolicy struct {
	engines []*fakeEngine
	address string
	// hedgeAfter starts a hedge after this time, 0 never.
	hedgeAfter time.Duration
	denyRetry  bool

	mu      sync.Mutex
	reports []request.AttemptResult
	// failures are what Retry was asked about.
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

func (p *fakePolicy) Hedge(_ time.Time, slow Slow) (bool, time.Duration) {
	if p.hedgeAfter == 0 {
		return false, 0
	}
	return slow.Waited >= p.hedgeAfter, p.hedgeAfter - slow.Waited
}

func (*fakePolicy) Succeeded(string)     {}
func (*fakePolicy) Sent(time.Time)       {}
func (*fakePolicy) FirstToken(time.Time) {}
func (*fakePolicy) Token(time.Time)      {}

func (p *fakePolicy) Finished(_ time.Time, report Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, report.Result)
}

// bench is a Runner with its fakes.
type bench struct {
	policy   *fakePolicy
	claimer  *fakeClaimer
	registry *request.Registry
	runner   *Runner
	checks   *invariant.Reporter
}

const incarnation = "01JZZZZZZZZZZZZZZZZZZZZZZZ"

func newBench(policy *fakePolicy, caller Caller) *bench {
	lg := slog.New(slog.DiscardHandler)
	b := &bench{policy: policy, claimer: &fakeClaimer{}, checks: invariant.NewReporter(lg, timeline.Discard)}
	b.registry = request.NewRegistry(incarnation, b.checks, request.Config{})
	b.runner = NewRunner(lg, Config{}, Deps{
		Chooser: policy, Retrier: policy, Claimer: b.claimer, Caller: caller, Answers: b.registry,
		Recorder: timeline.Discard,
	})
	return b
}

func (b *bench) spec(kind catalog.ServiceKind) request.Spec {
	now := time.Now()
	spec := request.Spec{
		ID: b.registry.NewID(), Team: "a", Service: "s", Kind: kind, Received: now, Deadline: now.Add(time.Minute),
	}
	if kind == catalog.KindModel {
		spec.Completion = &engine.Request{Model: "m"}
	} else {
		spec.Call = &request.Call{Method: "POST", Path: "/"}
	}
	return spec
}

func (b *bench) start(spec request.Spec) *request.Entry {
	entry, err := b.registry.Create(spec.Received, spec)
	Expect(err).NotTo(HaveOccurred())
	Expect(entry.Admit()).To(Succeed())
	b.runner.Start(entry)
	return entry
}

// answer returns the text and the finish of a request.
func answer(entry *request.Entry) (text string, finish *request.Finish) {
	err := entry.Follow(context.Background(), 0, func(event request.Event) error {
		text += string(event.Token)
		finish = event.Finish
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return text, finish
}

// simulate runs a test under a fake clock and checks that no invariant was violated.
func simulate(t *testing.T, policy *fakePolicy, caller Caller, test func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newBench(policy, caller)
		test(b)
		b.runner.Wait()
		Expect(b.checks.Counts()).To(BeEmpty())
	})
}

const (
	second = time.Second
	whole  = "0 1 2 3 4 "
)

func engineOf(name string, scripts ...script) *fakeEngine {
	return &fakeEngine{name: name, scripts: scripts}
}

var healthy = script{tokens: 5, interval: second}

// Guards against a gap or a repetition when an attempt breaks midway.
func TestBrokenStreamContinuesElsewhere(t *testing.T) {
	broken := engineOf("e1", script{tokens: 3, interval: second, err: engine.ErrBroken})
	other := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{broken, other}}, nil, func(b *bench) {
		text, finish := answer(b.start(b.spec(catalog.KindModel)))
		Expect(text).To(Equal(whole))
		Expect(finish.Outcome).To(Equal(request.OutcomeRan))
		Expect(finish.Usage.CompletionTokens).To(Equal(5))
		b.runner.Wait()
		Expect(other.work[0].Resume.Tokens).To(HaveLen(3))
		Expect(other.work[0].Attempt).To(Equal(2))
		Expect(broken.canceled).To(Equal([]int{1}))
		Expect(b.policy.failures).To(HaveLen(1))
		Expect(b.policy.failures[0].Progressed).To(BeTrue(), "a stream that delivered tokens needs no retry budget")
		Expect(b.policy.reports).To(Equal([]request.AttemptResult{request.ResultBroken, request.ResultDone}))
	})
}

// Guards against work that is lost with a reclaimed endpoint, and against a
// recomputation although there was time to export the KV cache.
func TestReclaimedEndpointHandsItsWorkOn(t *testing.T) {
	leaving := engineOf("e1", healthy)
	other := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{leaving, other}}, nil, func(b *bench) {
		entry := b.start(b.spec(catalog.KindModel))
		time.Sleep(1500 * time.Millisecond)
		b.runner.EndpointLeaving("e1", time.Now().Add(6*second))
		text, _ := answer(entry)
		Expect(text).To(Equal(whole))
		b.runner.Wait()
		Expect(other.work[0].Resume.Tokens).To(HaveLen(2))
		Expect(other.work[0].Resume.KVHandle).To(Equal("kv-e1"))
		Expect(leaving.canceled).To(Equal([]int{1}))
	})
}

// Guards against a move that waits for an export for which there is no time.
func TestShortNoticeMovesAtOnce(t *testing.T) {
	leaving := engineOf("e1", healthy)
	other := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{leaving, other}}, nil, func(b *bench) {
		entry := b.start(b.spec(catalog.KindModel))
		time.Sleep(1500 * time.Millisecond)
		b.runner.EndpointLeaving("e1", time.Now().Add(100*time.Millisecond))
		synctest.Wait()
		Expect(other.work).To(HaveLen(1))
		Expect(other.work[0].Resume.KVHandle).To(BeEmpty())
		text, _ := answer(entry)
		Expect(text).To(Equal(whole))
	})
}

// Guards against two answers of a hedge, and against a loser that runs on.
func TestHedgeAnswersOnceAndCancelsTheLoser(t *testing.T) {
	slow := engineOf("e1", script{tokens: 5, interval: 20 * second})
	fast := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{slow, fast}, hedgeAfter: second}, nil, func(b *bench) {
		began := time.Now()
		text, _ := answer(b.start(b.spec(catalog.KindModel)))
		Expect(text).To(Equal(whole))
		Expect(time.Since(began)).To(Equal(6 * second))
		b.runner.Wait()
		Expect(slow.canceled).To(Equal([]int{1}))
	})
}

// Guards against an outcome not_run for work that was sent, and the reverse.
func TestOutcomesAreProved(t *testing.T) {
	for name, c := range map[string]struct {
		policy  *fakePolicy
		outcome request.Outcome
		status  int
	}{
		"no endpoint":   {&fakePolicy{}, request.OutcomeNotRun, 503},
		"refused":       {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: engine.ErrRefused})}, denyRetry: true}, request.OutcomeNotRun, 503},
		"broken":        {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: engine.ErrBroken})}, denyRetry: true}, request.OutcomeUnknown, 502},
		"deadline":      {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{tokens: 99, interval: second})}}, request.OutcomeUnknown, 504},
		"leaving":       {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: engine.ErrLeaving}), engineOf("e2", healthy)}, denyRetry: true}, request.OutcomeRan, 0},
		"bad sequence":  {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: errors.New("other")})}, denyRetry: true}, request.OutcomeUnknown, 502},
		"broken by all": {&fakePolicy{engines: []*fakeEngine{engineOf("e1", script{err: engine.ErrBroken})}}, request.OutcomeUnknown, 503},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, c.policy, nil, func(b *bench) {
				_, finish := answer(b.start(b.spec(catalog.KindModel)))
				Expect(finish.Outcome).To(Equal(c.outcome))
				Expect(finish.Status).To(Equal(c.status))
			})
		})
	}
}

// Guards against attempts that run on after the request moved to a peer.
func TestMovedRequestStopsItsAttempts(t *testing.T) {
	running := engineOf("e1", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{running}}, nil, func(b *bench) {
		entry := b.start(b.spec(catalog.KindModel))
		time.Sleep(1500 * time.Millisecond)
		Expect(entry.Move()).To(Succeed())
		b.runner.Wait()
		Expect(running.canceled).To(Equal([]int{1}))
		Expect(entry.Follow(context.Background(), 1, func(request.Event) error { return nil })).To(MatchError(request.ErrMoved))
	})
}

// Guards against an answer that is generated again, because it ended while its
// KV cache was exported.
func TestAnswerThatEndsDuringTheExportCounts(t *testing.T) {
	leaving := engineOf("e1", script{tokens: 2, interval: second})
	other := engineOf("e2", healthy)
	simulate(t, &fakePolicy{engines: []*fakeEngine{leaving, other}}, nil, func(b *bench) {
		entry := b.start(b.spec(catalog.KindModel))
		time.Sleep(1950 * time.Millisecond)
		b.runner.EndpointLeaving("e1", time.Now().Add(5*second))
		text, finish := answer(entry)
		Expect(text).To(Equal("0 1 "))
		Expect(finish.Outcome).To(Equal(request.OutcomeRan))
		b.runner.Wait()
		Expect(other.work).To(BeEmpty())
	})
}

// Guards against a hedge that is not watched once the first attempt has failed.
func TestHedgeTakesTheFailedAttemptsPlace(t *testing.T) {
	failing := engineOf("e1", script{tokens: 0, err: engine.ErrBroken})
	slow := engineOf("e2", script{tokens: 5, interval: 20 * second})
	last := engineOf("e3", healthy)
	failing.delay = 2 * second
	simulate(t, &fakePolicy{engines: []*fakeEngine{failing, slow, last}, hedgeAfter: second}, nil, func(b *bench) {
		entry := b.start(b.spec(catalog.KindModel))
		time.Sleep(3 * second)
		b.runner.EndpointLeaving("e2", time.Now().Add(5*second))
		text, _ := answer(entry)
		Expect(text).To(Equal(whole))
		Expect(last.work).To(HaveLen(1))
	})
}
