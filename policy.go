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

// policy combines routing, admission and retries. It implements
// gateway.Admitter, backend.Chooser and backend.Retrier, and is safe for
// concurrent use.
type policy struct {
	instance  *Instance
	table     *routing.Table
	estimator *admission.Estimator
	admission *admission.Controller
	retries   *retry.Policy
	// endpoints holds the endpoints of the last view by endpoint key. The map is
	// replaced as a whole and never modified.
	endpoints atomic.Pointer[map[string]*membership.Endpoint]

	mu sync.Mutex // guards the fields below
	// The maps are keyed by endpoint key. cursors holds the sequence number of
	// the last cache event that was applied, loadAt the time of the last load
	// report.
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

// update applies a new view. It runs on the control goroutine.
func (p *policy) update(previous, view *control.View) {
	endpoints := make(map[string]*membership.Endpoint, len(view.Fleet.Endpoints))
	for _, e := range view.Fleet.Endpoints {
		endpoints[endpointKey(e)] = e
	}
	// The map is stored first, so that it contains each new endpoint that the table chooses.
	p.endpoints.Store(&endpoints)
	if previous == nil || previous.Catalog != view.Catalog || previous.Fleet != view.Fleet {
		p.table.SetEndpoints(time.Now(), routingEndpoints(view))
	}
	p.applyLoadReports(endpoints)
	p.dropRemovedEndpoints(endpoints)
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

// applyLoadReports passes the load reports that are newer than the last ones to
// the routing table.
func (p *policy) applyLoadReports(endpoints map[string]*membership.Endpoint) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, e := range endpoints {
		if e.LoadAt.After(p.loadAt[key]) {
			p.loadAt[key] = e.LoadAt
			p.table.ApplyLoadReport(now, key, e.Load)
		}
	}
}

// dropRemovedEndpoints closes the clients and deletes the state of endpoints
// that are no longer in the fleet.
func (p *policy) dropRemovedEndpoints(endpoints map[string]*membership.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, client := range p.engines {
		if _, found := endpoints[key]; !found {
			client.Close()
			delete(p.engines, key)
			delete(p.cursors, key)
		}
	}
	for key := range p.loadAt {
		if _, found := endpoints[key]; !found {
			delete(p.loadAt, key)
		}
	}
}

// markLeaving excludes a leaving endpoint from routing before the next view is
// published.
func (p *policy) markLeaving(e *membership.Endpoint) {
	p.table.MarkLeaving(time.Now(), endpointKey(e))
}

// engine returns the client of an endpoint and creates it on first use.
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
	work, estimate := p.routingWork(query)
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
		Feedback: &feedback{policy: p, choice: chosen, work: work, requestID: query.RequestID, attempt: query.Attempt},
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

// routingWork converts a query to the input of the routing table, and estimates
// the size of the work. Tokens that an earlier attempt generated count as prompt.
func (p *policy) routingWork(query backend.Query) (routing.Work, admission.Estimate) {
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
		work.DecodeTokens = max(1, estimate.OutputTokens-query.GeneratedTokens)
		work.PromptTokens += query.GeneratedTokens
	}
	work.Short = estimate.Class == admission.ClassShort
	return work, estimate
}

// longestFirst returns the longest of the given prefixes, longest first and at
// most routing.MaxPrefixes. The given ones are ordered shortest first.
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
func (p *policy) Admit(now time.Time, req gateway.AdmissionRequest) gateway.Decision {
	estimate := p.estimator.Estimate(req.Service.Name, req.Team.Name, req.EstimatedPromptTokens, req.MaxTokens)
	if req.Service.Kind == catalog.KindModel {
		if refusal, refused := p.shed(now, req, estimate); refused {
			return refusal
		}
	}
	expectedTokens := estimate.Tokens()
	if req.Service.Kind != catalog.KindModel {
		// A call of a plain service counts as one token, so that it is part of the demand by which a
		// team's limits are divided among the instances.
		expectedTokens = 1
	}
	if allowed, after := p.instance.quotas.limiter.Allow(now, req.Team.Name, expectedTokens); !allowed {
		return gateway.Decision{
			Step: "quota", OverTeamLimit: true, Detail: "the team is over its limit", RetryAfter: after,
		}
	}
	done := func(usage *engine.Usage) { p.recordUsage(req, expectedTokens, usage) }
	return gateway.Decision{Admitted: true, Done: done}
}

// shed refuses a model request that is expected to miss its deadline or the bound
// on the time to first token of its class. The second result reports whether the
// request is refused.
func (p *policy) shed(now time.Time, req gateway.AdmissionRequest, estimate admission.Estimate) (gateway.Decision, bool) {
	work := routing.Work{
		Service: req.Service.Name, PromptTokens: estimate.PromptTokens, DecodeTokens: max(1, estimate.OutputTokens),
		Short: estimate.Class == admission.ClassShort, Model: firstModelOf(req),
	}
	chosen, err := p.table.Choose(now, work)
	if err != nil {
		// Without an endpoint the request is not shed: the backend waits for one until
		// the deadline, since one may be starting.
		return gateway.Decision{}, false
	}
	decision := p.admission.Decide(now, req.Deadline, req.Service.Name, estimate, admission.Prediction{
		FirstToken: chosen.TimeToFirstToken, Total: chosen.TotalTime, Cost: p.admissionCost(req.Service.Name, chosen.TotalTime),
	})
	if decision.Admit {
		return gateway.Decision{}, false
	}
	return gateway.Decision{
		Step: "admission", Detail: "the deadline cannot be met at the moment", RetryAfter: decision.RetryAfter,
	}, true
}

func firstModelOf(req gateway.AdmissionRequest) string {
	if len(req.Service.Models) == 0 {
		return ""
	}
	return req.Service.Models[0]
}

// assumedSlots is the assumed number of sequences that an engine runs concurrently.
const assumedSlots = 32

// admissionCost returns the time for which a request with the given total time
// would occupy the capacity of the whole service.
func (p *policy) admissionCost(service string, total time.Duration) time.Duration {
	endpoints := len(p.instance.view.Load().Fleet.Service(service))
	return total / time.Duration(max(1, endpoints)*assumedSlots)
}

// recordUsage corrects the team's charge and the estimator by the measured token
// usage of a finished request.
func (p *policy) recordUsage(req gateway.AdmissionRequest, expectedTokens int, usage *engine.Usage) {
	if usage != nil {
		tokens := usage.PromptTokens + usage.CompletionTokens
		p.instance.quotas.limiter.CorrectCharge(time.Now(), req.Team.Name, expectedTokens, tokens)
		p.estimator.Observe(req.Service.Name, req.Team.Name, req.EstimatedPromptTokens, usage.CompletionTokens)
	}
}
