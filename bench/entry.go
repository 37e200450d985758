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

// entry is a fake entry instance. Its router, estimator and limiter observe only its own part of the traffic.
type entry struct {
	sim         *simulation
	datacentre  string
	router      router
	estimator   *admission.Estimator
	controller  *admission.Controller
	retryPolicy *retry.Policy
	limiter     *quota.Limiter
	name        string
}

func newEntry(sim *simulation, datacentre string, index int) *entry {
	rng := rand.New(rand.NewSource(sim.rng.Int63() + int64(index)))
	cfg := admission.DefaultConfig()
	return &entry{
		sim: sim, datacentre: datacentre, router: sim.variant.newRouter(datacentre, sim.result, rng),
		estimator: admission.NewEstimator(cfg), controller: admission.NewController(cfg),
		retryPolicy: retry.NewPolicy(retry.DefaultConfig(), rng), limiter: quota.NewLimiter(),
		name: fmt.Sprintf("entry-%d", index),
	}
}

// handleArrival starts a call for a new request.
func (e *entry) handleArrival(a *arrival) {
	e.sim.result.recordOffered(a)
	e.admitAndSend(&call{arrival: a, submittedAt: e.sim.now})
}

// admitAndSend sends the call's first attempt, unless the team limit or admission control sheds the call. The call fails
// if the router finds no endpoint.
func (e *entry) admitAndSend(c *call) {
	c.estimate = e.estimator.Estimate(c.target().Service, c.team, c.promptTokens, c.maxTokens)
	if e.sim.variant.quota && c.kind != kindPlain {
		if ok, retryAfter := e.limiter.Allow(e.sim.now, c.team, c.estimate.Tokens()); !ok {
			e.shed(c, retryAfter)
			return
		}
	}
	choice, err := e.router.choose(e.sim.now, e.work(c, ""))
	if err != nil {
		e.sim.result.failed++
		return
	}
	if e.sim.variant.admission && !e.admitByDeadline(c, choice) {
		return
	}
	e.sim.result.recordAccepted(c)
	at := e.send(c, choice, false)
	if e.sim.variant.hedges {
		e.scheduleHedge(at)
	}
}

// admitByDeadline reports whether the call is admitted. It sheds a call that cannot meet its deadline; the caller then
// retries once after the Retry-After time.
func (e *entry) admitByDeadline(c *call, choice routing.Choice) bool {
	p := admission.Prediction{FirstToken: choice.TimeToFirstToken, Total: choice.TotalTime, Cost: e.cost(c)}
	d := e.controller.Decide(e.sim.now, c.submittedAt.Add(c.kind.deadline()), c.target().Service, c.estimate, p)
	if d.Admit {
		if c.retried {
			e.sim.result.retriesAdmitted++
		}
		return true
	}
	e.shed(c, d.RetryAfter)
	return false
}

func (e *entry) shed(c *call, retryAfter time.Duration) {
	if c.retried {
		e.sim.result.recordShed(c)
		return
	}
	c.retried = true
	e.sim.result.retriesRequested++
	e.sim.schedule(retryAfter, func() {
		c.submittedAt = e.sim.now
		e.admitAndSend(c)
	})
}

// cost returns the processing time of the call at the rate of all engines of the service together, times the number
// of entry instances that share them.
func (e *entry) cost(c *call) time.Duration {
	profile := engineEndpoint(0, 0).Profile
	prefill := float64(c.estimate.PromptTokens) / profile.PrefillPerSecond
	step := profile.StepBase.Seconds()/float64(profile.Slots) + profile.StepPerSequence.Seconds()
	decode := float64(c.estimate.OutputTokens) * step
	return time.Duration((prefill + decode) / engineCount * entryCount * float64(time.Second))
}

// target names the service and the model of a call.
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
		Service: t.Service, Model: t.Model, PromptTokens: c.promptTokens + c.generated,
		DecodeTokens: max(1, c.estimate.OutputTokens-c.generated),
		Short:        c.estimate.Class == admission.ClassShort, Prefixes: c.prefixes, Avoid: avoid,
	}
}

// send starts an attempt of the call at the chosen endpoint.
func (e *entry) send(c *call, choice routing.Choice, hedge bool) *attempt {
	s := e.sim.serverByID[choice.Endpoint.ID]
	work := e.work(c, "")
	at := &attempt{call: c, server: s, hedge: hedge, routingAttempt: e.router.recordSent(e.sim.now, choice, work)}
	at.job = &job{
		priority: e.priority(c), prefixes: c.prefixes, computedBefore: e.computedBefore(c),
		promptTokens: c.promptTokens + c.generated, decodeTokens: c.decodeTokens - c.generated,
	}
	at.job.onToken = func(first bool) { e.deliverToken(at, first) }
	at.job.onDone = func() { e.complete(at) }
	at.job.onInterrupted = func(*job) { e.resume(at) }
	c.attempts = append(c.attempts, at)
	e.sim.result.attempts++
	e.sim.schedule(latency(e.datacentre, s.endpoint.Datacentre), func() { s.submit(at.job) })
	if e.sim.variant.priorities && c.estimate.Class == admission.ClassLong {
		e.schedulePromotion(at)
	}
	return at
}

func (e *entry) priority(c *call) engine.Priority {
	if !e.sim.variant.priorities {
		return engine.PriorityLong
	}
	return c.estimate.Priority
}

// computedBefore returns the number of tokens computed before, by an earlier call of the session or an earlier attempt.
func (e *entry) computedBefore(c *call) int {
	if c.generated > 0 {
		return c.promptTokens + c.generated
	}
	for _, p := range c.prefixes {
		if e.sim.computedPrefixes[p.Hash] {
			return p.Tokens
		}
	}
	return 0
}

// schedulePromotion raises the priority of a long call that has no first token at the promotion time. It changes the
// job at the server, whereas admission.Controller.PromoteAt expects the call to be sent again.
func (e *entry) schedulePromotion(at *attempt) {
	e.sim.schedule(e.controller.PromoteAt(e.sim.now).Sub(e.sim.now), func() {
		if !at.ended && at.call.firstTokenAt.IsZero() {
			at.job.priority = engine.PriorityShort
			e.sim.result.promoted++
		}
	})
}

// scheduleHedge sends a second attempt if there is no first token after the hedge delay and the budget allows it.
func (e *entry) scheduleHedge(at *attempt) {
	a := retry.Attempt{
		Service: at.call.target().Service, Number: 1, Repeatable: true,
		Idempotent: at.call.kind != kindPlain, Short: at.call.estimate.Class == admission.ClassShort,
	}
	delay, ok := e.retryPolicy.HedgeDelay(a)
	if !ok {
		return
	}
	e.sim.schedule(delay, func() {
		c := at.call
		if at.ended || !c.firstTokenAt.IsZero() || !e.retryPolicy.AllowHedge(a) {
			return
		}
		choice, err := e.router.choose(e.sim.now, e.work(c, at.server.endpoint.ID))
		if err == nil {
			e.send(c, choice, true)
		}
	})
}

func (e *entry) deliverToken(at *attempt, first bool) {
	c := at.call
	if at.ended || c.finished {
		return
	}
	if first {
		if c.firstTokenAt.IsZero() && c.estimate.Class == admission.ClassShort {
			e.retryPolicy.RecordFirstToken(c.target().Service, e.sim.now.Sub(c.submittedAt))
		}
		e.router.recordFirstToken(e.sim.now, at.routingAttempt)
		e.cancelOthers(at)
	} else {
		e.router.recordToken(e.sim.now, at.routingAttempt)
	}
	returnLatency := latency(e.datacentre, at.server.endpoint.Datacentre)
	e.sim.result.recordToken(c, e.sim.now.Add(returnLatency))
	c.generated++
}

// cancelOthers cancels the call's attempts other than the one that produced a first token.
func (e *entry) cancelOthers(winner *attempt) {
	for _, at := range winner.call.attempts {
		if at != winner && !at.ended {
			at.job.cancelled = true
			e.endAttempt(at)
		}
	}
}

func (e *entry) endAttempt(at *attempt) {
	if at.ended {
		return
	}
	at.ended = true
	e.router.recordFinished(e.sim.now, at.routingAttempt, at.server.endpoint.ID)
}

func (e *entry) complete(at *attempt) {
	c := at.call
	if at.ended || c.finished {
		return
	}
	e.endAttempt(at)
	c.finished = true
	for _, p := range c.prefixes {
		e.sim.computedPrefixes[p.Hash] = true
	}
	e.estimator.Observe(c.target().Service, c.team, c.promptTokens, c.decodeTokens)
	e.retryPolicy.RecordSuccess(c.target().Service)
	e.limiter.CorrectCharge(e.sim.now, c.team, c.estimate.Tokens(), c.promptTokens+c.decodeTokens)
	e.sim.result.recordCompleted(c, e.sim.now)
}

// resume sends a new attempt for a call whose endpoint stopped, unless another attempt of the call still runs. The call
// fails if the router finds no endpoint. The attempt continues from the imported KV cache, or recomputes the prompt and
// the tokens generated so far.
func (e *entry) resume(at *attempt) {
	if at.ended {
		return
	}
	e.endAttempt(at)
	c := at.call
	if c.finished || c.hasRunningAttempt() {
		return
	}
	choice, err := e.router.choose(e.sim.now, e.work(c, at.server.endpoint.ID))
	if err != nil {
		e.sim.result.failed++
		c.finished = true
		return
	}
	next := e.send(c, choice, false)
	next.job.imported = at.job.imported
	next.job.resumed = true
	e.sim.result.resumed++
}
