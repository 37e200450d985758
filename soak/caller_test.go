package soak

import (
	"errors"
	"io"
	"time"

	"knapweedhoist/request"
)

// caller reads the events of a job and re-attaches when its stream ends early.
type caller struct {
	job *job
	// attachedTo is the instance to which the caller is connected, nil while it is disconnected.
	attachedTo *instance
	// owner is the instance whose events are read through attachedTo.
	owner  *instance
	reader *request.Subscription
	// lastEventID is the ID of the last event received.
	lastEventID uint64
	// stalledSince is the time since which the connection has made no progress, zero while it makes progress.
	stalledSince time.Time
	// retryAt is the time of the next attempt to connect or to search.
	retryAt time.Time
	// searchDeadline is when attachedTo ends the search for the owner.
	searchDeadline time.Time
	// failedSearches counts the searches that ended without an owner since the last success.
	failedSearches int
}

// Timeouts and retry limits of callers.
const (
	attachRetry   = 200 * time.Millisecond
	searchTimeout = 10 * time.Second
	// maxFailedSearches is the number of searches without an owner after which a caller gives up.
	maxFailedSearches = 8
)

// tick reads the available events, or connects and searches for the owner.
func (c *caller) tick() {
	w := c.job.w
	switch {
	case w.now.Before(c.retryAt):
	case c.attachedTo == nil:
		c.connect()
	case c.attachedTo.ended:
		c.disconnect(w.randomDuration(100*time.Millisecond, 2*time.Second))
	case c.reader == nil:
		c.search()
	default:
		c.read()
	}
}

// disconnect ends the connection; the caller reconnects after wait.
func (c *caller) disconnect(wait time.Duration) {
	c.job.w.trace(c.job.traceLabel(), "caller disconnects from %s after event %d, reconnects in %v", c.attachedTo.id, c.lastEventID, wait)
	c.detach()
	c.attachedTo = nil
	c.retryAt = c.job.w.now.Add(wait)
}

// detach closes the subscription and keeps the connection to the instance.
func (c *caller) detach() {
	if c.reader != nil {
		c.reader.Close()
	}
	c.reader, c.owner, c.stalledSince = nil, nil, time.Time{}
}

// connect attaches to a random entry instance that is running, not leaving, and has a configuration.
func (c *caller) connect() {
	w := c.job.w
	c.attachedTo = w.pick(func(in *instance) bool { return in.awake() && !in.leaving && in.view.Catalog != nil })
	c.searchDeadline = w.now.Add(searchTimeout)
	if c.attachedTo == nil {
		return
	}
	w.count("caller re-attached")
	if w.rng.Intn(20) == 0 {
		c.tryOtherTeam()
	}
	c.search()
}

// tryOtherTeam asks every instance for the request with the credential of another team, which must be refused.
func (c *caller) tryOtherTeam() {
	w := c.job.w
	w.count("attach with another team's credential")
	for _, in := range w.instances {
		if _, err := in.registry.Find(c.job.spec.ID, "team-x"); err == nil {
			w.fail("P2: %s was found with the credential of another team", c.job.spec.ID)
		}
	}
}

// search looks for the owner of the request from attachedTo, and subscribes at the owner.
func (c *caller) search() {
	w := c.job.w
	if c.attachedTo.paused() {
		c.recordStall()
		return
	}
	owner, entry := c.attachedTo.find(c.job)
	if entry == nil {
		c.checkMissedSearch()
		c.retryAt = w.now.Add(attachRetry)
		if w.now.After(c.searchDeadline) {
			c.notFound()
		}
		return
	}
	reader, err := entry.Subscribe(c.lastEventID)
	if err != nil {
		c.retryAt = w.now.Add(attachRetry)
		return
	}
	c.owner, c.reader, c.failedSearches = owner, reader, 0
	w.trace(c.job.traceLabel(), "caller reads from %s through %s after event %d", owner.id, c.attachedTo.id, c.lastEventID)
}

// checkMissedSearch fails when an instance holds the request that the search from attachedTo did not find. Without
// network or platform failures the search must find it within searchTimeout after the last pause of the two instances.
// Exempt are a paused or ended holder, a leaving attachedTo, an instance that started recently, and a job whose owners met
// failures (affectedByFailures), as they may not have announced their successor.
func (c *caller) checkMissedSearch() {
	w, j := c.job.w, c.job
	for _, in := range w.instances {
		if _, found := in.registry.Lookup(j.spec.ID); !found {
			continue
		}
		since := latest(w.calmSince, in.resumesAt, c.attachedTo.resumesAt)
		recentlyStarted := w.now.Sub(latest(in.startedAt, c.attachedTo.startedAt)) <= maxListLag+rosterInterval+searchTimeout
		if !in.awake() || c.attachedTo.leaving || j.missReported || recentlyStarted || j.affectedByFailures() || !w.calm() || w.now.Sub(since) <= searchTimeout {
			j.keptFromCaller = true
			continue
		}
		j.missReported = true
		w.fail("P2: %s is held by %s and is not found from %s of %s, up %v (holder up %v), whose member entry of the holder is %s; owners %s",
			j.spec.ID, in.id, c.attachedTo.id, c.attachedTo.dc, w.now.Sub(c.attachedTo.startedAt), w.now.Sub(in.startedAt), c.attachedTo.describeMember(in), j.history())
	}
}

// notFound handles the answer that no instance holds the request. The caller retries through a random instance, and gives
// up after maxFailedSearches such answers in succession.
func (c *caller) notFound() {
	c.failedSearches++
	if c.failedSearches < maxFailedSearches {
		c.disconnect(2 * time.Second)
		return
	}
	w := c.job.w
	w.trace(c.job.traceLabel(), "not found through %s", c.attachedTo.id)
	c.job.unknownEverywhere = true
	c.job.endedAt = c.job.w.now
}

// recordStall records that the connection makes no progress, and disconnects after sessionTimeout.
func (c *caller) recordStall() {
	w := c.job.w
	if c.stalledSince.IsZero() {
		c.stalledSince = w.now
	}
	if w.now.Sub(c.stalledSince) >= sessionTimeout {
		c.disconnect(0)
	}
}

// read receives the available events from the owner.
func (c *caller) read() {
	w := c.job.w
	switch {
	case c.owner.ended:
		c.detach()
		c.searchDeadline = w.now.Add(searchTimeout)
		return
	case c.owner.paused() || c.attachedTo.paused() || c.owner != c.attachedTo && w.net.blocked(c.owner, c.attachedTo):
		c.recordStall()
		return
	}
	c.stalledSince = time.Time{}
	events, err := c.reader.Next(make([]request.Event, 0, 16))
	for _, event := range events {
		c.checkEvent(event)
	}
	switch {
	case errors.Is(err, io.EOF):
		c.detach()
	case errors.Is(err, request.ErrMoved):
		c.detach()
		c.searchDeadline = w.now.Add(searchTimeout)
	case len(events) > 0 && w.rng.Intn(200) == 0:
		w.count("caller went away")
		c.disconnect(w.randomDuration(500*time.Millisecond, 20*time.Second))
	}
}

// checkEvent checks the order and the content of one event.
func (c *caller) checkEvent(event request.Event) {
	j := c.job
	if event.ID != c.lastEventID+1 {
		j.w.fail("P2: %s got event %d after %d", j.spec.ID, event.ID, c.lastEventID)
	}
	c.lastEventID = event.ID
	if event.Finish != nil {
		j.recordFinish(event.Finish)
		return
	}
	if string(event.Token) != j.token(int(event.ID)-1) {
		j.w.fail("P2: %s got token %q as event %d", j.spec.ID, event.Token, event.ID)
	}
}
