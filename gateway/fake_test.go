package gateway_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"

	"knapweedhoist/backend"
	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/gateway"
	"knapweedhoist/invariant"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

const incarnation = "01JZZZZZZZZZZZZZZZZZZZZZZZ"

// fakeEngine streams the tokens "t0", "t1", …. If gate is not nil, it receives
// one value from gate before each token.
type fakeEngine struct {
	engine.Engine
	tokens int
	gate   chan struct{}
}

func (e *fakeEngine) Stream(ctx context.Context, work engine.Request, yield func(engine.Event) error) error {
	from := 0
	if work.Resume != nil {
		from = len(work.Resume.Tokens)
	}
	for i := from; i < e.tokens; i++ {
		if e.gate != nil {
			select {
			case <-e.gate:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := yield(engine.Event{Index: i, Token: fmt.Sprintf("t%d", i)}); err != nil {
			return err
		}
	}
	return yield(engine.Event{Index: e.tokens, FinishReason: "stop", Usage: &engine.Usage{PromptTokens: 3}})
}

func (e *fakeEngine) Cancel(context.Context, string, int) error { return nil }

type fakeFeedback struct{}

func (fakeFeedback) Sent(time.Time)                     {}
func (fakeFeedback) FirstToken(time.Time)               {}
func (fakeFeedback) Token(time.Time)                    {}
func (fakeFeedback) Finished(time.Time, backend.Report) {}

// fakePolicy returns decision for every request and chooses the same endpoint
// for all work, or none if it has neither an engine nor an address. It counts the
// admitted requests that are in progress.
type fakePolicy struct {
	engine   engine.Engine
	address  string
	decision gateway.Decision
	admitted atomic.Int64
}

func (p *fakePolicy) Admit(time.Time, gateway.AdmissionRequest) gateway.Decision {
	decision := p.decision
	if decision.Admitted {
		p.admitted.Add(1)
		decision.Done = func(*engine.Usage) { p.admitted.Add(-1) }
	}
	return decision
}

func (p *fakePolicy) Choose(time.Time, backend.Query) (backend.Choice, error) {
	if p.engine == nil && p.address == "" {
		return backend.Choice{}, backend.ErrNoEndpoint
	}
	return backend.Choice{Endpoint: "e1", Address: p.address, Engine: p.engine, Feedback: fakeFeedback{}}, nil
}

func (*fakePolicy) Retry(time.Time, backend.Failure) (time.Duration, bool)     { return 0, false }
func (*fakePolicy) Hedge(time.Time, backend.SlowAttempt) (bool, time.Duration) { return false, 0 }
func (*fakePolicy) RecordSuccess(string)                                       {}

// fakeDirectory holds teamA, teamB and the services "pool" and "booking".
type fakeDirectory struct{}

var (
	teamA    = &catalog.Team{Name: "a", Services: []string{"pool", "booking"}}
	teamB    = &catalog.Team{Name: "b", Services: []string{"pool"}}
	services = map[string]*catalog.Service{
		"pool": {Name: "pool", Kind: catalog.KindModel, Models: []string{"m"}},
		"booking": {
			Name: "booking", Kind: catalog.KindPlain, MaxBodyBytes: 2048,
			Idempotent: []catalog.CallRule{{Method: "PUT", PathPrefix: "/slots"}},
		},
	}
)

func (fakeDirectory) TeamByKeyHash(hash [32]byte) (*catalog.Team, bool) {
	switch hash {
	case sha256.Sum256([]byte("key-a")):
		return teamA, true
	case sha256.Sum256([]byte("key-b")):
		return teamB, true
	default:
		return nil, false
	}
}

func (fakeDirectory) Service(name string) (*catalog.Service, bool) {
	service, found := services[name]
	return service, found
}

func (fakeDirectory) ServiceOfModel(model string) (*catalog.Service, bool) {
	return services["pool"], model == "m"
}

// noRemote finds no request on any other instance.
type noRemote struct{}

func (noRemote) Attach(context.Context, request.ID, string, uint64, func(request.Event) error) error {
	return request.ErrNotFound
}

// testInstance is an entry instance with a fake policy, directory and engine.
type testInstance struct {
	policy   *fakePolicy
	registry *request.Registry
	runner   *backend.Runner
	server   *gateway.Server
	checks   *invariant.Reporter
	listener *fasthttputil.InmemoryListener
	client   *http.Client
	served   chan error
}

func newTestInstance(e engine.Engine, cfg gateway.Config, remote request.Attacher) *testInstance {
	lg := slog.New(slog.DiscardHandler)
	s := &testInstance{
		policy:   &fakePolicy{engine: e, decision: gateway.Decision{Admitted: true}},
		checks:   invariant.NewReporter(lg, timeline.Discard),
		listener: fasthttputil.NewInmemoryListener(),
		served:   make(chan error, 1),
	}
	s.registry = request.NewRegistry(incarnation, s.checks, request.Config{})
	s.runner = backend.NewRunner(lg, backend.Config{}, backend.Deps{
		Chooser: s.policy, Retrier: s.policy, Caller: backend.NewHTTPCaller(), Attacher: s.registry,
		Recorder: timeline.Discard,
	})
	s.server = gateway.NewServer(lg, cfg, gateway.Deps{
		Directory: fakeDirectory{}, Admitter: s.policy, Registry: s.registry, Remote: remote,
		Starter: s.runner, Recorder: timeline.Discard,
	})
	s.server.SetReady(true)
	go func() { s.served <- s.server.Serve(s.listener) }()
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return s.listener.Dial() },
	}}
	return s
}

func (s *testInstance) close() error {
	s.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	defer cancel()
	return s.server.Shutdown(ctx)
}

// hangGuard bounds waits so that a hang fails the test. It is also the value of delays that must
// not pass during a test. No result depends on its length.
const hangGuard = 30 * time.Second
