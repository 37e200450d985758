// Package admission classifies requests by their expected length and sheds
// requests that are predicted to miss their deadline or the bound on their time to
// first token, before they run.
//
// The decision is made once, when a request arrives; accepted requests are
// never shed. Long requests do not starve if the caller promotes them: after
// PromoteAfter without a first token, it sends the attempt again with the priority
// of short requests, and the wait behind other short requests is bounded by
// ShortWait. An accepted long request then waits at most PromoteAfter + ShortWait
// (13 s by default), as long as the endpoints keep their predicted speed. Package
// bench promotes; package knapweedhoist does not.
//
// State: Controller about 100 bytes for each service; Estimator about 200 bytes for
// each pair of team and service.
package admission

import (
	"sync"
	"time"
)

// Controller decides which requests are accepted. It is safe for concurrent use.
type Controller struct {
	cfg Config

	mu             sync.Mutex // guards retrySchedules and their fields
	retrySchedules map[string]*retrySchedule
}

// retrySchedule spaces the retries of the shed requests of one service.
type retrySchedule struct {
	// next is the earliest time for which another retry can be scheduled.
	next time.Time
}

// NewController returns a Controller.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, retrySchedules: make(map[string]*retrySchedule)}
}

// Prediction is the expected timing of a request at the endpoint that routing ranks first.
type Prediction struct {
	// FirstToken and Total are the predicted times from now to the first token and to the end of the response.
	FirstToken time.Duration
	Total      time.Duration
	// Cost is the time for which the request would occupy the capacity of the whole service, as seen by this instance.
	// Retries of shed requests are scheduled this far apart.
	Cost time.Duration
}

// Decide accepts a request or sheds it with a Retry-After. It sheds a request that is predicted to miss its deadline or
// the bound on the time to first token of its class.
func (c *Controller) Decide(now, deadline time.Time, service string, estimate Estimate, p Prediction) Decision {
	excess := c.excess(now, deadline, estimate, p)
	if excess <= 0 {
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: c.scheduleRetry(now, service, excess, p.Cost)}
}

// excess returns by how much the prediction exceeds the deadline or the bound on the time to first token, whichever is
// more. It is at most 0 when the request fits.
func (c *Controller) excess(now, deadline time.Time, estimate Estimate, p Prediction) time.Duration {
	total := time.Duration(float64(p.Total) * c.cfg.Margin)
	excess := total - deadline.Sub(now)
	maxWait := c.cfg.LongWait
	if estimate.Class == ClassShort {
		maxWait = c.cfg.ShortWait
	}
	if maxWait > 0 {
		excess = max(excess, p.FirstToken-maxWait)
	}
	return excess
}

// scheduleRetry returns the time until the request is expected to fit: after the excess load has drained and after the
// retries scheduled earlier, so that retries do not arrive at the same time. It is at most MaxRetryAfter; retries at that
// bound are not spaced.
func (c *Controller) scheduleRetry(now time.Time, service string, excess, cost time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	schedule := c.retrySchedules[service]
	if schedule == nil {
		schedule = &retrySchedule{}
		c.retrySchedules[service] = schedule
	}
	earliest := now.Add(excess)
	if schedule.next.Before(earliest) {
		schedule.next = earliest
	}
	retryAfter := schedule.next.Sub(now)
	if retryAfter >= c.cfg.MaxRetryAfter {
		return c.cfg.MaxRetryAfter
	}
	schedule.next = schedule.next.Add(cost)
	return retryAfter
}

// PromoteAt returns the time at which the caller sends a long request without a first token again, with the priority of
// the short class.
func (c *Controller) PromoteAt(sentAt time.Time) time.Time {
	return sentAt.Add(c.cfg.PromoteAfter)
}
