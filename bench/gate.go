package bench

import (
	"math/rand"
	"time"

	"knapweedhoist/quota"
)

// gateMode selects how an instance handles a refusal with a retry hint.
type gateMode uint8

const (
	// gateNone ignores the hint and retries after a jittered backoff.
	gateNone gateMode = iota
	// gateLocal applies the hint to the instance's own calls only.
	gateLocal
	// gateShared also sends the hint to the peers at once.
	gateShared
)

// Parameters of the scenario: eight instances call a weight store that refuses calls for
// 2 to 20 s at a time and serves them for 10 to 40 s in between.
const (
	gateLength       = 30 * time.Minute
	gateMeanInterval = 500 * time.Millisecond
	gateMaxBackoff   = 2 * time.Second
	gatePeerDelay    = 2 * time.Millisecond
	gateScope        = "weights"
)

// refusingStore is a fake weight store that refuses calls until closedUntil.
type refusingStore struct {
	*loop
	rng         *rand.Rand
	closedUntil time.Time
	calls       int
	// refused counts the calls made while the store is closed.
	refused int
}

// scheduleWindows schedules the next closed window, and itself for the end of that window.
func (s *refusingStore) scheduleWindows() {
	open := 10*time.Second + time.Duration(s.rng.Int63n(int64(30*time.Second)))
	s.schedule(open, func() {
		window := 2*time.Second + time.Duration(s.rng.Int63n(int64(18*time.Second)))
		s.closedUntil = s.now.Add(window)
		s.schedule(window, s.scheduleWindows)
	})
}

// call returns the retry hint, or 0 if the call was served.
func (s *refusingStore) call() time.Duration {
	s.calls++
	if s.now.Before(s.closedUntil) {
		s.refused++
		return s.closedUntil.Sub(s.now)
	}
	return 0
}

// gateClient is an instance that fetches weights at random intervals.
type gateClient struct {
	store *refusingStore
	mode  gateMode
	gate  *quota.Gate
	// peers holds all clients, including this one.
	peers []*gateClient
	rng   *rand.Rand
	// served counts the served fetches, and totalWait is the sum of their waits, which include delays by the gate.
	served    int
	totalWait time.Duration
}

// fetchPeriodically fetches one object and schedules the next fetch.
func (c *gateClient) fetchPeriodically() {
	c.fetch(c.store.now, 1)
	c.store.schedule(time.Duration(c.rng.ExpFloat64()*float64(gateMeanInterval)), c.fetchPeriodically)
}

func (c *gateClient) fetch(since time.Time, attempt int) {
	now := c.store.now
	if until, closed := c.gate.Closed(now, gateScope); closed {
		c.store.schedule(until.Sub(now), func() { c.fetch(since, attempt) })
		return
	}
	hint := c.store.call()
	if hint == 0 {
		c.served++
		c.totalWait += now.Sub(since)
		return
	}
	c.recordRefusal(now, hint)
	delay := time.Duration(c.rng.Int63n(int64(min(gateMaxBackoff, 100*time.Millisecond<<min(attempt, 10))))) + 1
	c.store.schedule(delay, func() { c.fetch(since, attempt+1) })
}

func (c *gateClient) recordRefusal(now time.Time, hint time.Duration) {
	if c.mode == gateNone {
		return
	}
	until := c.gate.RecordRefusal(now, gateScope, hint)
	if c.mode == gateLocal {
		return
	}
	for _, p := range c.peers {
		c.store.schedule(gatePeerDelay, func() { p.gate.Merge(p.store.now, gateScope, until) })
	}
}

// measureGate counts the calls made while the weight store is closed, for each gate mode.
func measureGate(seed int64) *report {
	r := &report{
		name:    "weight_store_refusing",
		about:   "eight instances, two fetches a second each, store closed for 2 to 20 s at a time (30 min virtual)",
		columns: []string{"served", "calls_while_closed", "closed_calls_per_1000_served", "mean_wait_ms"},
	}
	for _, v := range []struct {
		name string
		mode gateMode
	}{{"backoff_only", gateNone}, {"own_hint", gateLocal}, {"shared_gate", gateShared}} {
		served, totalWait, store := runGate(seed, v.mode)
		r.add(v.name, float64(served), float64(store.refused),
			1000*float64(store.refused)/float64(served), float64(totalWait.Milliseconds())/float64(served))
	}
	return r
}

func runGate(seed int64, mode gateMode) (served int, totalWait time.Duration, store *refusingStore) {
	l := newLoop()
	store = &refusingStore{loop: l, rng: rand.New(rand.NewSource(seed))}
	store.scheduleWindows()
	var clients []*gateClient
	for i := range entryCount {
		clients = append(clients, &gateClient{
			store: store, mode: mode, gate: quota.NewGate(), rng: rand.New(rand.NewSource(seed + int64(i) + 1)),
		})
	}
	for _, c := range clients {
		c.peers = clients
		c.fetchPeriodically()
	}
	l.run(epoch.Add(gateLength))
	for _, c := range clients {
		served += c.served
		totalWait += c.totalWait
	}
	return served, totalWait, store
}
