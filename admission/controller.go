// Package admission classifies requests by their expected length and sheds
// those that cannot meet their deadline, before anything runs.
//
// A request is decided on once, when it arrives; there is no call that sheds
// accepted work. Long work is never starved: after PromoteAfter without a
// first token its attempt is sent again with the priority of short work, and
// short work in front of it is bounded by ShortWait. The bound on the wait of
// accepted long work is therefore PromoteAfter + ShortWait (13 s by default),
// as long as the endpoints keep their predicted speed.
//
// State: Controller about 100 bytes for each service; Estimator about 200 bytes for
// each team and service.
package admission

import (
	"sync"
	"time"
)

// Controller decides which requests are accepted. It is safe for concurrent use.
type Controller struct {
	cfg Config

	mu      sync.Mutex // guards backlog
	backlog map[string]*backlog
}

// backlog spaces the retries of shed requests of one service.
type backlog struct {
	// next is the end of the time that was already promised to shed requests.
	next time.Time
}

// NewController returns a Controller.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, backlog: make(map[string]*backlog)}
}

// Prediction is what routing expects of the best endpoint.
type Prediction struct {
	// FirstToken and Total are the predicted times from now.
	FirstToken time.Duration
	Total      time.Duration
	// Cost is the time that the work takes of the whole service's capacity as this instance sees it.
	Cost time.Duration
}

// Decide accepts or sheds a request with the given deadline.
func (c *Controller) Decide(now, deadline time.Time, service string, estimate Estimate, p Prediction) Decision {
	excess := c.excess(now, deadline, estimate, p)
	if excess <= 0 {
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: c.promise(now, service, excess, p.Cost)}
}

// excess is by how much the prediction misses the deadline.
func (c *Controller) excess(now, deadline time.Time, estimate Estimate, p Prediction) time.Duration {
	total := time.Duration(float64(p.Total) * c.cfg.Margin)
	excess := total - deadline.Sub(now)
	limit := c.cfg.LongWait
	if estimate.Class == ClassShort {
		limit = c.cfg.ShortWait
	}
	if limit > 0 {
		excess = max(excess, p.FirstToken-limit)
	}
	return excess
}

// promise returns when the work is expected to fit: after the excess has drained and after the retries promised
// before it, so that retries do not arrive together.
func (c *Controller) promise(now time.Time, service string, excess, cost time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.backlog[service]
	if b == nil {
		b = &backlog{}
		c.backlog[service] = b
	}
	earliest := now.Add(excess)
	if b.next.Before(earliest) {
		b.next = earliest
	}
	after := b.next.Sub(now)
	if after >= c.cfg.MaxRetryAfter {
		return c.cfg.MaxRetryAfter
	}
	b.next = b.next.Add(cost)
	return after
}

// PromoteAt is when long work without a first token is sent again with the priority of short work.
func (c *Controller) PromoteAt(sentAt time.Time) time.Time {
	return sentAt.Add(c.cfg.PromoteAfter)
}
