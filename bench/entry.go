package bench

import (
	"fmt"
	"math/rand"
	"time"

	"knapweedhoist/admission"
	"knapweedhoist/engine"
	"knapweedhoist/quota"
	"knapweedhoist/retry"
	"knapweedhoist/routing"
)

// entry is a fake entry instance: it sees only its own part of the traffic.
type entry struct {
	w          *world
	datacentre string
	router     router
	estimator  *admission.Estimator
	controller *admission.Controller
	retries    *retry.Policy
	limiter    *quota.Limiter
	name       string
}

func newEntry(w *world, datacentre string, index int) *entry {
	rng := rand.New(rand.NewSource(w.rng.Int63() + int64(index)))
	cfg := admission.DefaultConfig()
	return &entry{
		w: w, datacentre: datacentre, router: w.variant.router(datacentre, w.result, rng),
		estimator: admission.NewEstimator(cfg), controller: admission.NewController(cfg),
		retries: retry.NewPolicy(retry.DefaultConfig(), rng), limiter: quota.NewLimiter(),
		name: fmt.Sprintf("entry-%d", index),
	}
}

// arrive handles a new request.
func (e *entry) arrive(a *arrival) {
	e.w.result.offer(a)
	e.try(&call{arrival: a, at: e.w.now})
}

// try admits the call and sends its first attempt.
func (e *entry) try(c *call) {
	c.estimate = e.estimator.Estimate(c.target().Service, c.team, c.prompt, c.limit)
	if e.w.variant.quota && c.kind != kindPlain {
		if ok, after := e.limiter.Allow(e.w.now, c.team, c.estimate.Tokens()); !ok {
			e.shed(c, after)
			return
		}
	}
	choice, err := e.router.choose(e.w.now, e.work(c, ""))
	if err != nil {
		e.w.result.failed++
		return
	}
	if e.w.variant.admission && !e.admitted(c, choice) {
		return
	}
	e.w.result.accept(c)
	at := e.send(c, choice, false)
	if e.w.variant.hedges {
		e.watchHedge(at)
	}
}

// admitted sheds a call that cannot meet its deadline; the caller then tries once more at the Retry-After.
func (e *entry) admitted(c *call, choice routing.Choice) bool {
	p := admission.Prediction{FirstToken: choice.TimeToFirstToken, Total: choice.TotalTime, Cost: e.cost(c)}
	d := e.controller.Decide(e.w.now, c.at.Add(c.kind.deadline()), c.target().Service, c.estimate, p)
	if d.Admit {
		if c.retried {
			e.w.result.retriesAdmitted++
		}
		return true
	}
	e.shed(c, d.RetryAfter)
	return false
}

func (e *entry) shed(c *call, after time.Duration) {
	if c.retried {
		e.w.result.shed(c)
		return
	}
	c.retried = true
	e.w.result.retriesAsked++
	e.w.after(after, func() {
		c.at = e.w.now
		e.try(c)
	})
}

// cost is the time of the work at the whole service's rate, times the number of entry instances that share it.
func (e *entry) cost(c *call) time.Duration {
	profile := engineEndpoint(0, 0).Profile
	prefill := float64(c.estimate.PromptTokens) / profile.PrefillPerSecond
	step := profile.StepBase.Seconds()/float64(profile.Slots) + profile.StepPerSequence.Seconds()
	decode := float64(c.estimate.DecodeTokens) * step
	return time.Duration((prefill + decode) / engines * entries * float64(time.Second))
}

// target is the service and model of a call.
type target struct{ Service, Model string }

func (c *call) target() target {
	if c.kind == kindPlain {
		return target{Service: servicePlain}
	}
	return target{Service: serviceModel, Model: modelName}
}

func (e *entry) work(c *call, avoid string) routing.Work {
	t := c.target()
	return routing.Work{
		Service: t.Service, Model: t.Model, PromptTokens: c.prompt + c.generated,
		DecodeTokens: max(1, c.estimate.DecodeTokens-c.generated),
		Short:        c.estimate.Class == admission.ClassShort, Prefixes: c.prefixes, Avoid: avoid,
	}
}

// send starts an attempt at the chosen endpoint.
func (e *entry) send(c *call, choice routing.Choice, hedge bool) *attempt {
	s := e.w.byID[choice.Endpoint.ID]
	work := e.work(c, "")
	at := &attempt{call: c, server: s, hedge: hedge, flight: e.router.sent(e.w.now, choice, work)}
	at.job = &job{
		priority: e.priority(c), prefixes: c.prefixes, known: e.known(c),
		prompt: c.prompt + c.generated, decode: c.decode - c.generated,
	}
	at.job.token = func(first bool) { e.token(at, first) }
	at.job.done = func() { e.done(at) }
	at.job.cut = func(*job) { e.cut(at) }
	c.attempts = append(c.attempts, at)
	e.w.result.attempts++
	e.w.after(latency(e.datacentre, s.endpoint.Datacentre), func() { s.submit(at.job) })
	if e.w.variant.priorities && c.estimate.Class == admission.ClassLong {
		e.watchPromotion(at)
	}
	return at
}

func (e *entry) priority(c *call) engine.Priority {
	if !e.w.variant.priorities {
		return engine.PriorityLong
	}
	return c.estimate.Priority
}

// known are the tokens that were computed before: by an earlier call of the session or an earlier attempt.
func (e *entry) known(c *call) int {
	if c.generated > 0 {
		return c.prompt + c.generated
	}
	for _, p := range c.prefixes {
		if e.w.computed[p.Hash] {
			return p.Tokens
		}
	}
	return 0
}

// watchPromotion raises the priority of long work that has waited too long; a gateway cancels and sends again.
func (e *entry) watchPromotion(at *attempt) {
	e.w.after(e.controller.PromoteAt(e.w.now).Sub(e.w.now), func() {
		if !at.ended && at.call.firstAt.IsZero() {
			at.job.priority = engine.PriorityShort
			e.w.result.promoted++
		}
	})
}

// watchHedge sends a second attempt when the first token is late and the budget allows it.
func (e *entry) watchHedge(at *attempt) {
	a := retry.Attempt{
		Service: at.call.target().Service, Number: 1, Repeatable: true,
		Idempotent: at.call.kind != kindPlain, Short: at.call.estimate.Class == admission.ClassShort,
	}
	delay, ok := e.retries.HedgeDelay(a)
	if !ok {
		return
	}
	e.w.after(delay, func() {
		c := at.call
		if at.ended || !c.firstAt.IsZero() || !e.retries.AllowHedge(a) {
			return
		}
		choice, err := e.router.choose(e.w.now, e.work(c, at.server.endpoint.ID))
		if err == nil {
			e.send(c, choice, true)
		}
	})
}

func (e *entry) token(at *attempt, first bool) {
	c := at.call
	if at.ended || c.finished {
		return
	}
	if first {
		if c.firstAt.IsZero() && c.estimate.Class == admission.ClassShort {
			e.retries.RecordFirstToken(c.target().Service, e.w.now.Sub(c.at))
		}
		e.router.firstToken(e.w.now, at.flight)
		e.win(at)
	} else {
		e.router.token(e.w.now, at.flight)
	}
	back := latency(e.datacentre, at.server.endpoint.Datacentre)
	e.w.result.token(c, e.w.now.Add(back))
	c.generated++
}

// win cancels the call's other attempts.
func (e *entry) win(winner *attempt) {
	for _, at := range winner.call.attempts {
		if at != winner && !at.ended {
			at.job.cancelled = true
			e.end(at)
		}
	}
}

func (e *entry) end(at *attempt) {
	if at.ended {
		return
	}
	at.ended = true
	e.router.finished(e.w.now, at.flight, at.server.endpoint.ID)
}

func (e *entry) done(at *attempt) {
	c := at.call
	if at.ended || c.finished {
		return
	}
	e.end(at)
	c.finished = true
	for _, p := range c.prefixes {
		e.w.computed[p.Hash] = true
	}
	e.estimator.Observe(c.target().Service, c.team, c.prompt, c.decode)
	e.retries.RecordSuccess(c.target().Service)
	e.limiter.CorrectCharge(e.w.now, c.team, c.estimate.Tokens(), c.prompt+c.decode)
	e.w.result.finish(c, e.w.now)
}

// cut continues a call whose endpoint stopped: from the imported KV cache, or from the prompt and the text so far.
func (e *entry) cut(at *attempt) {
	if at.ended {
		return
	}
	e.end(at)
	c := at.call
	if c.finished || c.running() {
		return
	}
	choice, err := e.router.choose(e.w.now, e.work(c, at.server.endpoint.ID))
	if err != nil {
		e.w.result.failed++
		c.finished = true
		return
	}
	next := e.send(c, choice, false)
	next.job.imported = at.job.imported
	next.job.resumed = true
	e.w.result.resumed++
}
