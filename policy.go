package knapweedhoist

import (
	"errors"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/admission"
	"knapweedhoist/backend"
	"knapweedhoist/catalog"
	"knapweedhoist/control"
	"knapweedhoist/engine"
	"knapweedhoist/gateway"
	"knapweedhoist/membership"
	"knapweedhoist/retry"
	"knapweedhoist/routing"
	"knapweedhoist/timeline"
)

// policy joins the policy packages for the gateway and the backend.
type policy struct {
	instance  *Instance
	table     *routing.Table
	estimator *admission.Estimator
	admission *admission.Controller
	retries   *retry.Policy
	// endpoints are those of the last view by their keys; the map is never modified.
	endpoints atomic.Pointer[map[string]*membership.Endpoint]

	mu sync.Mutex // guards the fields below
	// engines and cursors are by endpoint key.
	engines map[string]*engine.Client
	cursors map[string]uint64
	loadAt  map[string]time.Time
}

func newPolicy(i *Instance) *policy {
	cfg := routing.DefaultConfig(i.cfg.Datacentre)
	cfg.Distance = i.cfg.DistanceTable()
	p := &policy{
		instance:  i,
		table:     routing.NewTable(cfg, i.checker, rand.New(rand.NewSource(time.Now().UnixNano()))),
		estimator: admission.NewEstimator(admission.DefaultConfig()),
		admission: admission.NewController(admission.DefaultConfig()),
		retries:   retry.NewPolicy(retry.DefaultConfig(), rand.New(rand.NewSource(time.Now().UnixNano()))),
		engines:   make(map[string]*engine.Client), cursors: make(map[string]uint64),
		loadAt: make(map[string]time.Time),
	}
	p.endpoints.Store(&map[string]*membership.Endpoint{})
	return p
}

// update takes a new view in. It runs on the control goroutine.
func (p *policy) update(before, view *control.View) {
	known := make(map[string]*membership.Endpoint, len(view.Fleet.Endpoints))
	for _, e := range view.Fleet.Endpoints {
		known[endpointKey(e)] = e
	}
	// The map comes first, so that each endpoint that the table chooses is found in it.
	p.endpoints.Store(&known)
	if before == nil || before.Catalog != view.Catalog || before.Fleet != view.Fleet {
		p.table.SetEndpoints(time.Now(), routingEndpoints(view))
	}
	p.reportLoads(known)
	p.forget(known)
}

func routingEndpoints(view *control.View) []routing.Endpoint {
	endpoints := make([]routing.Endpoint, 0, len(view.Fleet.Endpoints))
	for _, e := range view.Fleet.Endpoints {
		endpoint := routing.Endpoint{
			ID: endpointKey(e), Service: e.Service, Datacentre: e.Datacentre, Leaving: e.Leaving,
		}
		if view.Catalog != nil {
			if service, found := view.Catalog.Service(e.Service); found {
				endpoint.Models = service.Models
			}
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func (p *policy) reportLoads(known map[string]*membership.Endpoint) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, e := range known {
		if e.LoadAt.After(p.loadAt[key]) {
			p.loadAt[key] = e.LoadAt
			p.table.ApplyLoadReport(now, key, e.Load)
		}
	}
}

// forget drops what is kept of endpoints that are no longer in the fleet.
func (p *policy) forget(known map[string]*membership.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, client := range p.engines {
		if _, found := known[key]; !found {
			client.Close()
			delete(p.engines, key)
			delete(p.cursors, key)
		}
	}
	for key := range p.loadAt {
		if _, found := known[key]; !found {
			delete(p.loadAt, key)
		}
	}
}

// leave marks an endpoint before the next view does.
func (p *policy) leave(e *membership.Endpoint) {
	p.table.MarkLeaving(time.Now(), endpointKey(e))
}

// engine returns the client of a model endpoint.
func (p *policy) engine(e *membership.Endpoint) *engine.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := endpointKey(e)
	client, found := p.engines[key]
	if !found {
		client = engine.NewClient(p.instance.lg, engine.ClientConfig{Address: e.Address})
		p.engines[key] = client
	}
	return client
}

// Choose implements backend.Chooser.
func (p *policy) Choose(now time.Time, query backend.Query) (backend.Choice, error) {
	work, estimate := p.work(query)
	chosen, err := p.table.Choose(now, work)
	if errors.Is(err, routing.ErrNoEndpoint) && work.Avoid != "" {
		work.Avoid = ""
		chosen, err = p.table.Choose(now, work)
	}
	if err != nil {
		return backend.Choice{}, errors.Join(backend.ErrNoEndpoint, err)
	}
	endpoint := (*p.endpoints.Load())[chosen.Endpoint.ID]
	if endpoint == nil {
		return backend.Choice{}, backend.ErrNoEndpoint
	}
	choice := backend.Choice{
		Endpoint: chosen.Endpoint.ID, Address: endpoint.Address, Priority: estimate.Priority,
		Feedback: &feedback{policy: p, choice: chosen, work: work, request: query.RequestID, attempt: query.Attempt},
	}
	p.instance.ring.Record(timeline.Event{
		Kind: timeline.KindChoose, Request: query.RequestID, Attempt: query.Attempt, Team: query.Team,
		Endpoint: chosen.Endpoint.ID, Detail: "first token expected in " + chosen.TimeToFirstToken.Round(time.Millisecond).String(),
	})
	if query.Kind == catalog.KindModel {
		choice.Engine = p.engine(endpoint)
	}
	return choice, nil
}

// work describes an attempt for the routing.
func (p *policy) work(query backend.Query) (routing.Work, admission.Estimate) {
	work := routing.Work{Service: query.Service, PromptTokens: query.PromptTokens, DecodeTokens: 1}
	if len(query.Avoid) > 0 {
		work.Avoid = query.Avoid[len(query.Avoid)-1]
	}
	limit := 0
	if query.Completion != nil {
		limit = query.Completion.MaxTokens
		work.Model = query.Completion.Model
		work.Prefixes = longestFirst(engine.Prefixes(query.Completion.Model, query.Completion.Messages))
	}
	estimate := p.estimator.Estimate(query.Service, query.Team, query.PromptTokens, limit)
	if query.Completion != nil {
		work.DecodeTokens = max(1, estimate.DecodeTokens-query.GeneratedTokens)
		work.PromptTokens += query.GeneratedTokens
	}
	work.Short = estimate.Class == admission.ClassShort
	return work, estimate
}

func longestFirst(prefixes []engine.Prefix) []routing.Prefix {
	n := min(len(prefixes), routing.MaxPrefixes)
	longest := make([]routing.Prefix, 0, n)
	for i := range n {
		prefix := prefixes[len(prefixes)-1-i]
		longest = append(longest, routing.Prefix{Hash: prefix.Hash, Tokens: prefix.Tokens})
	}
	return longest
}

// Admit implements gateway.Admitter.
func (p *policy) Admit(now time.Time, ask gateway.AdmissionRequest) gateway.Decision {
	estimate := p.estimator.Estimate(ask.Service.Name, ask.Team.Name, ask.PromptTokens, ask.MaxTokens)
	if ask.Service.Kind == catalog.KindModel {
		if refused, shed := p.shed(now, ask, estimate); shed {
			return refused
		}
	}
	expected := estimate.Tokens()
	if ask.Service.Kind != catalog.KindModel {
		// A plain call counts as one token, so that it shows in the demand by which limits are divided.
		expected = 1
	}
	if allowed, after := p.instance.quotas.limiter.Allow(now, ask.Team.Name, expected); !allowed {
		return gateway.Decision{
			Step: "quota", OverTeamLimit: true, Detail: "the team is over its limit", RetryAfter: after,
		}
	}
	done := func(usage *engine.Usage) { p.count(ask, expected, usage) }
	return gateway.Decision{Admitted: true, Done: done}
}

// shed refuses model work that is not expected to meet its deadline.
func (p *policy) shed(now time.Time, ask gateway.AdmissionRequest, estimate admission.Estimate) (gateway.Decision, bool) {
	work := routing.Work{
		Service: ask.Service.Name, PromptTokens: estimate.PromptTokens, DecodeTokens: max(1, estimate.DecodeTokens),
		Short: estimate.Class == admission.ClassShort, Model: modelOf(ask),
	}
	chosen, err := p.table.Choose(now, work)
	if err != nil {
		// The backend waits for an endpoint until the deadline: one may be starting.
		return gateway.Decision{}, false
	}
	decision := p.admission.Decide(now, ask.Deadline, ask.Service.Name, estimate, admission.Prediction{
		FirstToken: chosen.TimeToFirstToken, Total: chosen.TotalTime, Cost: p.cost(ask.Service.Name, chosen.TotalTime),
	})
	if decision.Admit {
		return gateway.Decision{}, false
	}
	return gateway.Decision{
		Step: "admission", Detail: "the deadline cannot be met at the moment", RetryAfter: decision.RetryAfter,
	}, true
}

func modelOf(ask gateway.AdmissionRequest) string {
	if len(ask.Service.Models) == 0 {
		return ""
	}
	return ask.Service.Models[0]
}

// assumedSlots is how many sequences an engine is taken to run at once.
const assumedSlots = 32

// cost is the time that work takes of the capacity of a whole service.
func (p *policy) cost(service string, total time.Duration) time.Duration {
	endpoints := len(p.instance.view.Load().Fleet.Service(service))
	return total / time.Duration(max(1, endpoints)*assumedSlots)
}

// count records the work of a finished request.
func (p *policy) count(ask gateway.AdmissionRequest, expected int, usage *engine.Usage) {
	if usage != nil {
		tokens := usage.PromptTokens + usage.CompletionTokens
		p.instance.quotas.limiter.CorrectCharge(time.Now(), ask.Team.Name, expected, tokens)
		p.estimator.Observe(ask.Service.Name, ask.Team.Name, ask.PromptTokens, usage.CompletionTokens)
	}
}
