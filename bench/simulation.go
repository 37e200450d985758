package bench

import (
	"math/rand"
	"strings"
	"time"

	"knapweedhoist/quota"
	"knapweedhoist/routing"
)

// simulation is one run of one variant in one scenario.
type simulation struct {
	*loop
	scenario   scenario
	variant    variant
	rng        *rand.Rand
	servers    []*server
	serverByID map[string]*server
	entries    []*entry
	result     *result
	// computedPrefixes holds the hashes of the prefixes that some engine has computed.
	computedPrefixes map[uint64]bool
	incarnation      int
	// platformDown stops updates of the list of endpoints. Entry instances still receive reclaim notices, since these
	// travel in heartbeats.
	platformDown bool
}

// cacheEventLoss is the share of cache events that are lost, drawn for each entry instance.
const cacheEventLoss = 0.05

func newSimulation(s scenario, v variant, seed int64) *simulation {
	sim := &simulation{
		loop: newLoop(), scenario: s, variant: v, rng: rand.New(rand.NewSource(seed)),
		serverByID: map[string]*server{}, result: newResult(s, v), computedPrefixes: map[uint64]bool{},
	}
	for i := range engineCount {
		sim.addServer(engineEndpoint(i, 0))
	}
	for i := range plainServerCount {
		sim.addServer(plainEndpoint(i))
	}
	for i := range entryCount {
		sim.entries = append(sim.entries, newEntry(sim, datacentres[i%len(datacentres)], i))
	}
	sim.publishEndpoints()
	return sim
}

func (sim *simulation) addServer(e routing.Endpoint) {
	s := newServer(sim.loop, e)
	sim.servers = append(sim.servers, s)
	sim.serverByID[e.ID] = s
}

// publishEndpoints sends the list of endpoints to all entry instances, unless the platform is down.
func (sim *simulation) publishEndpoints() {
	if sim.platformDown {
		return
	}
	var list []routing.Endpoint
	for _, s := range sim.servers {
		if !s.stopped {
			e := s.endpoint
			e.Leaving = s.leaving
			list = append(list, e)
		}
	}
	for _, e := range sim.entries {
		e.router.setEndpoints(sim.now, list)
	}
}

// run simulates the arrivals and faults and returns the measurements.
func (sim *simulation) run(arrivals []arrival) *result {
	for _, f := range sim.scenario.faults {
		sim.schedule(f.at, func() { f.apply(sim) })
	}
	sim.scheduleArrivals(arrivals)
	sim.setFloorGrants()
	owner := quota.NewOwner(quota.DefaultConfig(entryCount), 1, time.Time{})
	sim.scheduleEvery(time.Second, func() bool {
		sim.publishReports()
		if sim.variant.quota {
			sim.planGrants(owner)
		}
		return sim.elapsed() < sim.scenario.length
	})
	sim.loop.run(epoch.Add(sim.scenario.length + drainTime))
	sim.result.addServerCounts(sim)
	return sim.result
}

// drainTime is how long accepted calls may continue after the end of the arrivals.
const drainTime = 90 * time.Second

// scheduleArrivals schedules one arrival at a time, to keep the event heap small.
func (sim *simulation) scheduleArrivals(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	a := &arrivals[0]
	sim.schedule(a.at-sim.elapsed(), func() {
		sim.entries[a.entry].handleArrival(a)
		sim.scheduleArrivals(arrivals[1:])
	})
}

// publishReports collects the load report and the cache events of each server. Entry instances receive them after the
// scenario's report lag.
func (sim *simulation) publishReports() {
	for _, s := range sim.servers {
		if s.stopped {
			continue
		}
		loadReport, events := s.loadReport(), s.cache.pendingEvents
		s.cache.pendingEvents = nil
		sim.schedule(sim.scenario.reportLag, func() {
			for _, e := range sim.entries {
				e.router.applyLoadReport(sim.now, s.endpoint.ID, loadReport)
				for _, event := range events {
					if sim.rng.Float64() >= cacheEventLoss {
						e.router.applyCacheEvent(s.endpoint.ID, event)
					}
				}
			}
		})
	}
}

// announceReclaim marks the engines of a data centre as leaving at all entry instances.
func (sim *simulation) announceReclaim(datacentre string) {
	for _, s := range sim.enginesIn(datacentre) {
		s.leaving = true
		for _, e := range sim.entries {
			e.router.markLeaving(sim.now, s.endpoint.ID)
		}
	}
}

// stopEngines stops the engines of a data centre, after the export of KV caches if the variant enables it.
func (sim *simulation) stopEngines(datacentre string) {
	for _, s := range sim.enginesIn(datacentre) {
		if sim.variant.export {
			s.exportCaches()
		}
		s.stop()
	}
	sim.publishEndpoints()
}

// startReplacements adds new engines in a data centre, ready at once.
func (sim *simulation) startReplacements(datacentre string) {
	sim.incarnation++
	for i := range engineCount {
		if datacentres[i%len(datacentres)] != datacentre {
			continue
		}
		e := engineEndpoint(i, sim.incarnation)
		e.ReadyAt = sim.now
		sim.addServer(e)
	}
	sim.publishEndpoints()
}

func (sim *simulation) enginesIn(datacentre string) []*server {
	var list []*server
	for _, s := range sim.servers {
		if s.endpoint.Datacentre == datacentre && strings.HasPrefix(s.endpoint.ID, "engine") && !s.stopped {
			list = append(list, s)
		}
	}
	return list
}
