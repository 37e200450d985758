package standin_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/engine"
	"knapweedhoist/standin"
)

func prompt(id, text string) engine.Request {
	return engine.Request{
		ID: id, Attempt: 1, Model: "m",
		Messages: []engine.Message{{Role: "system", Content: strings.Repeat("rules ", 400)}, {Role: "user", Content: text}},
	}
}

// streamTokens streams a request and returns the tokens and the last event.
func streamTokens(ctx context.Context, e engine.Engine, request engine.Request) ([]string, engine.Event, error) {
	var tokens []string
	var last engine.Event
	err := e.Stream(ctx, request, func(event engine.Event) error {
		last = event
		if event.Token != "" {
			tokens = append(tokens, event.Token)
		}
		return nil
	})
	return tokens, last, err
}

func engineClient(addr string) *engine.Client {
	client := engine.NewClient(discardLog, engine.ClientConfig{Address: addr, Timeout: hangGuard, IdleTimeout: hangGuard})
	DeferCleanup(client.Close)
	return client
}

// fastConfig has a short step time, so that tests over real connections are short.
var fastConfig = standin.EngineConfig{InterToken: time.Microsecond, InterTokenEach: time.Nanosecond, PrefillPerSecond: 1e9}

// stalledConfig has a decode step that is longer than any test: an attempt alone on the engine gets its first token and no
// other.
var stalledConfig = standin.EngineConfig{InterToken: time.Hour, PrefillPerSecond: 1e9, CommentInterval: time.Millisecond}

var _ = Describe("engine over HTTP", func() {
	var ctx context.Context
	BeforeEach(func() { ctx = contextWithHangGuard() })

	It("guards against a stream with missing or repeated tokens, or with a wrong final event", func() {
		client := engineClient(start(standin.NewEngine(discardLog, fastConfig)))
		request := prompt("r1", "draft tokens=300")
		tokens, last, err := streamTokens(ctx, client, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(tokens).To(Equal(standin.ExpectedAnswer(request).List()))
		Expect(last.FinishReason).To(Equal("stop"))
		Expect(last.Index).To(Equal(300))
		Expect(last.Usage.CompletionTokens).To(Equal(300))
	})

	It("guards against a resumed stream that does not continue at the next token", func() {
		first, second := standin.NewEngine(discardLog, fastConfig), standin.NewEngine(discardLog, fastConfig)
		client, other := engineClient(start(first)), engineClient(start(second))
		first.Faults.Add(standin.Fault{Kind: standin.FaultBreak, Op: "stream", AfterTokens: 40})
		request := prompt("r1", "draft tokens=100")
		tokens, _, err := streamTokens(ctx, client, request)
		Expect(err).To(MatchError(engine.ErrBroken))
		Expect(tokens).To(HaveLen(40))
		request.Attempt = 2
		request.Resume = &engine.Resume{Tokens: tokens}
		rest, last, err := streamTokens(ctx, other, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(append(tokens, rest...)).To(Equal(standin.ExpectedAnswer(request).List()))
		Expect(last.Usage.RecomputedTokens).To(Equal(engine.PromptTokens(request.Messages) + 40))
		attempts := second.Attempts()
		Expect(attempts).To(HaveLen(1))
		Expect(attempts[0].FirstIndex).To(Equal(40))
		Expect(attempts[0].Outcome).To(Equal(standin.OutcomeFinished))
		Expect(attempts[0].ResumeMismatch).To(BeFalse())
	})

	It("guards against recomputing tokens that an imported KV cache covers", func() {
		first, second := standin.NewEngine(discardLog, stalledConfig), standin.NewEngine(discardLog, fastConfig)
		client, other := engineClient(start(first)), engineClient(start(second))
		request := prompt("r1", "draft tokens=100")
		events := make(chan engine.Event, 200)
		go func() {
			_ = client.Stream(ctx, request, func(event engine.Event) error { events <- event; return nil })
		}()
		var event engine.Event
		Eventually(events, hangGuard).Should(Receive(&event))
		handle, err := client.ExportKV(ctx, "r1", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(other.ImportKV(ctx, handle)).To(Succeed())
		request.Attempt = 2
		request.Resume = &engine.Resume{Tokens: []string{event.Token}, KVHandle: handle.ID}
		_, last, err := streamTokens(ctx, other, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Usage.RecomputedTokens).To(BeZero())
		handle.ID = "unknown"
		Expect(other.ImportKV(ctx, handle)).To(MatchError(engine.ErrNotFound))
	})

	It("guards against an attempt that continues after its caller cancelled it or disconnected", func() {
		server := standin.NewEngine(discardLog, stalledConfig)
		client := engineClient(start(server))
		streaming, cancel := context.WithCancel(ctx)
		ended := make(chan error, 2)
		for _, id := range []string{"r1", "r2"} {
			go func() { _, _, err := streamTokens(streaming, client, prompt(id, "x")); ended <- err }()
		}
		running := func() (n int) {
			for _, attempt := range server.Attempts() {
				if attempt.Outcome == standin.OutcomeRunning {
					n++
				}
			}
			return n
		}
		Eventually(running, hangGuard).Should(Equal(2))
		Expect(client.Cancel(ctx, "r1", 1)).To(Succeed())
		Eventually(ended, hangGuard).Should(Receive(MatchError(engine.ErrBroken)))
		cancel()
		Eventually(ended, hangGuard).Should(Receive(MatchError(engine.ErrBroken)))
		Eventually(running, hangGuard).Should(BeZero())
		Expect(client.Cancel(ctx, "r1", 1)).To(MatchError(engine.ErrNotFound))
	})

	It("guards against a refusal that the client reports as a broken stream", func() {
		server := standin.NewEngine(discardLog, standin.EngineConfig{Models: []string{"m"}, ChecksFence: true})
		client := engineClient(start(server))
		request := prompt("r1", "x")
		request.Model = "other"
		_, _, err := streamTokens(ctx, client, request)
		Expect(err).To(MatchError(engine.ErrRefused))
		server.Faults.Add(standin.Fault{Kind: standin.FaultRefuse, Count: 1, RetryAfter: 2 * time.Second})
		_, _, err = streamTokens(ctx, client, prompt("r1", "x"))
		var refused *engine.RefusedError
		Expect(asError(err, &refused)).To(BeTrue())
		Expect(refused.RetryAfter).To(Equal(2 * time.Second))
		Expect(client.Order(ctx, engine.Order{Kind: engine.OrderLoadModel, Name: "other", Fence: 5})).To(Succeed())
		Expect(client.Order(ctx, engine.Order{Kind: engine.OrderSetRole, Fence: 4})).To(MatchError(engine.ErrStaleFence))
		Expect(server.Orders()).To(HaveLen(1))
		server.Leave(hangGuard)
		_, _, err = streamTokens(ctx, client, prompt("r1", "x"))
		Expect(err).To(MatchError(engine.ErrLeaving))
		Expect(server.Close()).To(Succeed())
		_, _, err = streamTokens(ctx, client, prompt("r1", "x"))
		Expect(err).To(MatchError(engine.ErrUnreachable))
	})

	It("guards against a stream without comment lines while no token is ready", func() {
		addr := start(standin.NewEngine(discardLog, stalledConfig))
		body := `{"stream":true,"model":"m","messages":[{"role":"user","content":"x"}]}`
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(engine.HeaderRequestID, "r1")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() && !strings.HasPrefix(lines.Text(), ":") {
		}
		Expect(lines.Text()).To(HavePrefix(":"))
	})

	It("guards against a silenced connection that also blocks new connections", func() {
		server := standin.NewEngine(discardLog, fastConfig)
		client := engineClient(start(server))
		server.Faults.Add(standin.Fault{Kind: standin.FaultSilence, Op: "stream", Count: 1, AfterTokens: 5})
		callCtx, cancel := context.WithCancel(ctx)
		got := make(chan string, 100)
		ended := make(chan error, 1)
		go func() {
			ended <- client.Stream(callCtx, prompt("r1", "tokens=50"), func(event engine.Event) error {
				got <- event.Token
				return nil
			})
		}()
		Eventually(got, hangGuard).Should(HaveLen(5))
		_, _, err := streamTokens(ctx, client, prompt("r2", "tokens=50"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(5))
		Expect(ended).NotTo(Receive())
		cancel()
		Eventually(ended, hangGuard).Should(Receive(MatchError(engine.ErrBroken)))
	})
})

func withEngine(t *testing.T, cfg standin.EngineConfig, test func(ctx context.Context, g *WithT, e *standin.Engine)) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.NewEngine(discardLog, cfg)
		test(t.Context(), NewWithT(t), e)
		_ = e.Close()
	})
}

// Guards against a service time that does not depend on the prompt length or the batch size.
func TestEngineServiceTime(t *testing.T) {
	withEngine(t, standin.EngineConfig{}, func(ctx context.Context, g *WithT, e *standin.Engine) {
		startedAt := time.Now()
		request := prompt("r1", "tokens=11")
		_, _, err := streamTokens(ctx, e, request)
		g.Expect(err).NotTo(HaveOccurred())
		prefill := time.Duration(engine.PromptTokens(request.Messages)) * time.Second / 20000
		g.Expect(time.Since(startedAt)).To(BeNumerically("~", prefill+10*8*time.Millisecond, time.Millisecond))
	})
	// 100 steps of 9 ms, and one more step for sequences that miss the first one.
	withEngine(t, standin.EngineConfig{PrefillPerSecond: 1e9, PrefillChunk: 1 << 20}, func(ctx context.Context, g *WithT, e *standin.Engine) {
		startedAt := time.Now()
		ended := make(chan error, 5)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			go func() { _, _, err := streamTokens(ctx, e, prompt(id, "tokens=101")); ended <- err }()
		}
		for range 5 {
			g.Expect(<-ended).To(Succeed())
		}
		g.Expect(time.Since(startedAt)).To(BeNumerically("~", 900*time.Millisecond, 9*time.Millisecond))
	})
}

// Guards against a high-priority request that waits behind queued requests of a lower priority.
func TestEnginePriority(t *testing.T) {
	withEngine(t, standin.EngineConfig{MaxBatch: 1, MaxQueue: 2}, func(ctx context.Context, g *WithT, e *standin.Engine) {
		order := make(chan string, 4)
		run := func(id string, priority engine.Priority) {
			request := prompt(id, "tokens=10")
			request.Priority = priority
			go func() {
				if _, _, err := streamTokens(ctx, e, request); err == nil {
					order <- id
				}
			}()
			synctest.Wait()
		}
		run("running", engine.PriorityLong)
		run("long", engine.PriorityLong)
		run("short", engine.PriorityShort)
		_, _, err := streamTokens(ctx, e, prompt("over", "x"))
		g.Expect(err).To(MatchError(engine.ErrRefused))
		g.Expect([]string{<-order, <-order, <-order}).To(Equal([]string{"running", "short", "long"}))
	})
}

// Guards against a prefix cache that exceeds its capacity, and cache events that
// are published early or renumbered after a gap.
func TestEngineCache(t *testing.T) {
	withEngine(t, standin.EngineConfig{CacheTokens: 1000}, func(ctx context.Context, g *WithT, e *standin.Engine) {
		e.Faults.Add(standin.Fault{Kind: standin.FaultGap, Op: "cache_event", Skip: 1, Count: 1})
		first := prompt("r1", "tokens=2")
		_, _, err := streamTokens(ctx, e, first)
		g.Expect(err).NotTo(HaveOccurred())
		events, err := e.CacheEvents(ctx, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(events).To(BeEmpty())
		time.Sleep(time.Second)
		events, _ = e.CacheEvents(ctx, 0)
		g.Expect(events).To(HaveLen(2))
		g.Expect(events[1].Sequence).To(Equal(uint64(3)))
		g.Expect(events[0].Prefix).To(Equal(engine.Prefixes("m", first.Messages)[0].Hash))
		startedAt := time.Now()
		_, _, err = streamTokens(ctx, e, prompt("r2", "tokens=2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(startedAt)).To(BeNumerically("<", 30*time.Millisecond), "the prompt is cached")
		big := prompt("r3", strings.Repeat("long ", 600)+"tokens=2")
		_, _, err = streamTokens(ctx, e, big)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		events, _ = e.CacheEvents(ctx, 3)
		g.Expect(events).To(ContainElement(HaveField("Evicted", true)))
	})
}

// Guards against load reports without the configured lag, and an engine that
// stops before the end of its notice.
func TestEngineLoadAndLeave(t *testing.T) {
	withEngine(t, standin.EngineConfig{}, func(ctx context.Context, g *WithT, e *standin.Engine) {
		ended := make(chan error, 1)
		go func() { _, _, err := streamTokens(ctx, e, prompt("r1", "tokens=10000")); ended <- err }()
		time.Sleep(500 * time.Millisecond)
		report, err := e.Load(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(report.Running).To(BeZero())
		time.Sleep(600 * time.Millisecond)
		report, _ = e.Load(ctx)
		g.Expect(report.Running).To(Equal(1))
		g.Expect(report.AtMs).To(Equal(time.Now().Add(-time.Second).UnixMilli()))
		noticeAt := time.Now()
		e.Leave(5 * time.Second)
		g.Expect(<-ended).To(MatchError(engine.ErrBroken))
		g.Expect(time.Since(noticeAt)).To(Equal(5 * time.Second))
		g.Expect(e.Attempts()[0].Outcome).To(Equal(standin.OutcomeBroken))
	})
}

// Guards against fence checks by an engine without ChecksFence, a draining
// engine that accepts new requests, and delay faults or KV transfers that take
// no time.
func TestEngineOrdersAndDelays(t *testing.T) {
	withEngine(t, standin.EngineConfig{InterToken: time.Hour}, func(ctx context.Context, g *WithT, e *standin.Engine) {
		g.Expect(e.Order(ctx, engine.Order{Kind: engine.OrderSetRole, Fence: 5})).To(Succeed())
		g.Expect(e.Order(ctx, engine.Order{Kind: engine.OrderSetRole, Fence: 4})).To(Succeed())
		request := prompt("r1", "tokens=5")
		go func() { _, _, _ = streamTokens(ctx, e, request) }()
		time.Sleep(time.Second)
		startedAt := time.Now()
		e.Faults.Add(standin.Fault{Kind: standin.FaultDelay, Op: "export", Delay: time.Second, Count: 1})
		handle, err := e.ExportKV(ctx, "r1", 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(handle.Tokens).To(Equal(engine.PromptTokens(request.Messages) + 1))
		transfer := time.Duration(handle.Tokens) * time.Second / 100000
		g.Expect(time.Since(startedAt)).To(BeNumerically("~", time.Second+transfer, time.Microsecond))
		g.Expect(e.Order(ctx, engine.Order{Kind: engine.OrderDrain, Fence: 5})).To(Succeed())
		_, _, err = streamTokens(ctx, e, prompt("r2", "x"))
		g.Expect(err).To(MatchError(engine.ErrLeaving))
		g.Expect(e.LateArrivals(0)).To(BeZero(), "the request arrived at the time of the drain order")
	})
}

// Guards against a chain of attempts, all but the last broken at some token, whose
// concatenated tokens differ from the answer.
func TestEngineResumeProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		request := prompt("r1", rapid.StringMatching(`[a-z ]{0,20}`).Draw(rt, "text"))
		request.MaxTokens = rapid.IntRange(0, 40).Draw(rt, "limit")
		var got []string
		for {
			e := standin.NewEngine(discardLog, fastConfig)
			e.Faults.Add(standin.Fault{Kind: standin.FaultBreak, AfterTokens: rapid.IntRange(1, 60).Draw(rt, "tokens")})
			tokens, _, err := streamTokens(context.Background(), e, request)
			_ = e.Close()
			got = append(got, tokens...)
			if err == nil {
				break
			}
			request.Attempt++
			request.Resume = &engine.Resume{Tokens: append([]string(nil), got...)}
		}
		if want := standin.ExpectedAnswer(request).Text(); strings.Join(got, "") != want {
			rt.Fatalf("got %q, want %q", strings.Join(got, ""), want)
		}
	})
}
