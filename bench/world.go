package bench

import (
	"math/rand"
	"strings"
	"time"

	"knapweedhoist/quota"
	"knapweedhoist/routing"
)

// world is one run of one variant in one scenario.
type world struct {
	*loop
	scenario scenario
	variant  variant
	rng      *rand.Rand
	servers  []*server
	byID     map[string]*server
	entries  []*entry
	result   *result
	// computed are the prefixes that some engine has computed before.
	computed    map[uint64]bool
	incarnation int
	// platformDown stops changes of the list of endpoints; notices still come by heartbeat.
	platformDown bool
}

// cacheEventLoss is the share of cache events that never arrive.
const cacheEventLoss = 0.05

func newWorld(s scenario, v variant, seed int64) *world {
	w := &world{
		loop: newLoop(), scenario: s, variant: v, rng: rand.New(rand.NewSource(seed)),
		byID: map[string]*server{}, result: newResult(s, v), computed: map[uint64]bool{},
	}
	for i := range engines {
		w.add(engineEndpoint(i, 0))
	}
	for i := range plains {
		w.add(plainEndpoint(i))
	}
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, datacentres[i%len(datacentres)], i))
	}
	w.publish()
	return w
}

func (w *world) add(e routing.Endpoint) {
	s := newServer(w.loop, e)
	w.servers = append(w.servers, s)
	w.byID[e.ID] = s
}

// publish gives all entry instances the list of endpoints.
func (w *world) publish() {
	if w.platformDown {
		return
	}
	var list []routing.Endpoint
	for _, s := range w.servers {
		if !s.down {
			e := s.endpoint
			e.Leaving = s.leaving
			list = append(list, e)
		}
	}
	for _, e := range w.entries {
		e.router.setEndpoints(w.now, list)
	}
}

// run plays the arrivals and faults and returns the measurements.
func (w *world) run(arrivals []arrival) *result {
	for _, f := range w.scenario.faults {
		w.after(f.at, func() { f.what(w) })
	}
	w.play(arrivals)
	w.startAtFloor()
	owner := quota.NewOwner(quota.DefaultConfig(entries), 1, time.Time{})
	w.every(time.Second, func() bool {
		w.publishReports()
		if w.variant.quota {
			w.quotaRound(owner)
		}
		return w.since() < w.scenario.length
	})
	w.loop.run(epoch.Add(w.scenario.length + drainTime))
	w.result.close(w)
	return w.result
}

// drainTime lets accepted work finish after the last arrival.
const drainTime = 90 * time.Second

// play schedules one arrival at a time, to keep the heap small.
func (w *world) play(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	a := &arrivals[0]
	w.after(a.at-w.since(), func() {
		w.entries[a.entry].arrive(a)
		w.play(arrivals[1:])
	})
}

// publishReports takes a load report and the cache events of each server; they arrive late.
func (w *world) publishReports() {
	for _, s := range w.servers {
		if s.down {
			continue
		}
		report, events := s.report(), s.cache.events
		s.cache.events = nil
		w.after(w.scenario.reportLag, func() {
			for _, e := range w.entries {
				e.router.report(w.now, s.endpoint.ID, report)
				for _, event := range events {
					if w.rng.Float64() >= cacheEventLoss {
						e.router.cacheEvent(s.endpoint.ID, event)
					}
				}
			}
		})
	}
}

// notice announces the reclaim of a data centre's engines.
func (w *world) notice(datacentre string) {
	for _, s := range w.in(datacentre) {
		s.leaving = true
		for _, e := range w.entries {
			e.router.leave(w.now, s.endpoint.ID)
		}
	}
}

// stop ends the engines of a data centre.
func (w *world) stop(datacentre string) {
	for _, s := range w.in(datacentre) {
		if w.variant.export {
			s.export()
		}
		s.stop()
	}
	w.publish()
}

// replace starts new engines in a data centre.
func (w *world) replace(datacentre string) {
	w.incarnation++
	for i := range engines {
		if datacentres[i%len(datacentres)] != datacentre {
			continue
		}
		e := engineEndpoint(i, w.incarnation)
		e.ReadyAt = w.now
		w.add(e)
	}
	w.publish()
}

func (w *world) in(datacentre string) []*server {
	var list []*server
	for _, s := range w.servers {
		if s.endpoint.Datacentre == datacentre && strings.HasPrefix(s.endpoint.ID, "engine") && !s.down {
			list = append(list, s)
		}
	}
	return list
}
