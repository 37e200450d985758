package bench

import (
	"math/rand"
	"time"

	"knapweedhoist/quota"
)

// gateMode is how an instance reacts to a refusal with a retry hint.
type gateMode uint8

const (
	// gateNone ignores the hint and tries again after a jittered backoff.
	gateNone gateMode = iota
	// gateOwn keeps the hint to itself.
	gateOwn
	// gateShared tells the peers at once.
	gateShared
)

// Figures of the scenario: eight instances call a weight store that closes for
// 2 to 20 s at a time, with an open time of 10 to 40 s between.
const (
	gateLength   = 30 * time.Minute
	gateInterval = 500 * time.Millisecond
	gateBackoff  = 2 * time.Second
	gatePeer     = 2 * time.Millisecond
	gateScope    = "weights"
)

// refusingStore is a fake weight store with closed windows.
type refusingStore struct {
	*loop
	rng    *rand.Rand
	closed time.Time
	calls  int
	// refused counts calls while the window is closed.
	refused int
}

// cycle opens and closes the store.
func (s *refusingStore) cycle() {
	open := 10*time.Second + time.Duration(s.rng.Int63n(int64(30*time.Second)))
	s.after(open, func() {
		window := 2*time.Second + time.Duration(s.rng.Int63n(int64(18*time.Second)))
		s.closed = s.now.Add(window)
		s.after(window, s.cycle)
	})
}

// call returns the retry hint, 0 when the call was served.
func (s *refusingStore) call() time.Duration {
	s.calls++
	if s.now.Before(s.closed) {
		s.refused++
		return s.closed.Sub(s.now)
	}
	return 0
}

// gateClient is an instance that needs weights now and then.
type gateClient struct {
	store *refusingStore
	mode  gateMode
	gate  *quota.Gate
	peers []*gateClient
	rng   *rand.Rand
	// served and waited measure the price: the delay that the gate adds.
	served int
	waited time.Duration
}

// need fetches one object, and schedules the next need.
func (c *gateClient) need() {
	c.try(c.store.now, 1)
	c.store.after(time.Duration(c.rng.ExpFloat64()*float64(gateInterval)), c.need)
}

func (c *gateClient) try(since time.Time, attempt int) {
	now := c.store.now
	if until, closed := c.gate.Closed(now, gateScope); closed {
		c.store.after(until.Sub(now), func() { c.try(since, attempt) })
		return
	}
	hint := c.store.call()
	if hint == 0 {
		c.served++
		c.waited += now.Sub(since)
		return
	}
	c.refused(now, hint)
	delay := time.Duration(c.rng.Int63n(int64(min(gateBackoff, 100*time.Millisecond<<min(attempt, 10))))) + 1
	c.store.after(delay, func() { c.try(since, attempt+1) })
}

func (c *gateClient) refused(now time.Time, hint time.Duration) {
	if c.mode == gateNone {
		return
	}
	until := c.gate.RecordRefusal(now, gateScope, hint)
	if c.mode == gateOwn {
		return
	}
	for _, p := range c.peers {
		c.store.after(gatePeer, func() { p.gate.Merge(p.store.now, gateScope, until) })
	}
}

// measureGate counts the calls made while the window is closed.
func measureGate(seed int64) *report {
	r := &report{
		name:    "weight_store_refusing",
		about:   "eight instances, two needs a second each, store closed for 2 to 20 s at a time (30 min virtual)",
		columns: []string{"served", "calls_while_closed", "closed_calls_per_1000_served", "mean_wait_ms"},
	}
	for _, v := range []struct {
		name string
		mode gateMode
	}{{"backoff_only", gateNone}, {"own_hint", gateOwn}, {"shared_gate", gateShared}} {
		served, waited, store := runGate(seed, v.mode)
		r.add(v.name, float64(served), float64(store.refused),
			1000*float64(store.refused)/float64(served), float64(waited.Milliseconds())/float64(served))
	}
	return r
}

func runGate(seed int64, mode gateMode) (served int, waited time.Duration, store *refusingStore) {
	l := newLoop()
	store = &refusingStore{loop: l, rng: rand.New(rand.NewSource(seed))}
	store.cycle()
	var clients []*gateClient
	for i := range entries {
		clients = append(clients, &gateClient{
			store: store, mode: mode, gate: quota.NewGate(), rng: rand.New(rand.NewSource(seed + int64(i) + 1)),
		})
	}
	for _, c := range clients {
		c.peers = clients
		c.need()
	}
	l.run(epoch.Add(gateLength))
	for _, c := range clients {
		served += c.served
		waited += c.waited
	}
	return served, waited, store
}
