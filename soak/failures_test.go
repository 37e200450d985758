package soak

import (
	"maps"
	"slices"
	"time"

	"knapweedhoist/testutil"
)

// failure is one kind of failure with its relative weight in the draw.
type failure struct {
	weight int
	inject func(w *world)
}

// failures is set in init: longOutage and longCut read failures again through drawFailure, which the compiler rejects in a
// variable initialiser as a cycle.
var failures []failure

func init() {
	failures = []failure{
		{30, (*world).pauseInstance},
		{12, (*world).killInstance},
		{10, (*world).takePlatformDown},
		{10, (*world).slowPlatform},
		{10, (*world).makePlatformUnreliable},
		{10, (*world).cutDatacentres},
		{8, (*world).cutPlatform},
		{6, (*world).isolateDatacentre},
		{10, (*world).loseMessages},
		{10, (*world).delayMessages},
		{10, (*world).silenceConnection},
		{4, (*world).compactWatchHistory},
		{14, (*world).reclaimEndpoint},
		{14, (*world).reclaimInstance},
		{6, (*world).reclaimSuccessor},
		{6, (*world).killLeavingInstance},
		{8, (*world).stopInstance},
		{3, (*world).sendSecondSignal},
		{1, (*world).reclaimAllInstances},
		{3, (*world).reclaimDatacentreEndpoints},
		{1, (*world).longOutage},
		{1, (*world).longCut},
		{30, func(w *world) { w.operators.editConcurrently() }},
		{20, func(w *world) { w.operators.repeatEdit() }},
	}
}

// Rate of failures, and lengths of the phases in steps. The run is divided into phases; each starts with a quiet period
// without new failures.
const (
	// failurePerMille is the chance, in thousandths, that a step injects a failure, drawn again after each one.
	failurePerMille = 450
	// phaseSteps is the length of a phase. At its start the failures of the network and the platform end; none is drawn in
	// its first quietSteps.
	phaseSteps = 60
	quietSteps = 12
)

// injectFailures draws and injects the failures of a step.
func (w *world) injectFailures() {
	if w.steps%phaseSteps == 0 {
		w.endNetworkAndPlatformFailures()
	}
	if w.steps%phaseSteps < quietSteps {
		return
	}
	for w.rng.Intn(1000) < failurePerMille {
		w.drawFailure()
	}
}

// drawFailure injects one failure, drawn by weight.
func (w *world) drawFailure() {
	total := 0
	for _, f := range failures {
		total += f.weight
	}
	draw := w.rng.Intn(total)
	for _, f := range failures {
		if draw -= f.weight; draw < 0 {
			f.inject(w)
			return
		}
	}
}

// endNetworkAndPlatformFailures ends all failures of the network and the platform.
func (w *world) endNetworkAndPlatformFailures() {
	clear(w.net.cuts)
	clear(w.net.silentSince)
	w.net.lossFraction, w.net.delayedFraction = 0, 0
	w.outages, w.storeFaults = 0, 0
	w.endFailuresCalls++
	w.platform.store.SetOutage(false)
	w.platform.store.SetFaults(normalDelays)
	w.count("heal")
}

// endFailureAfter runs end after length, unless endNetworkAndPlatformFailures has run in between.
func (w *world) endFailureAfter(length time.Duration, end func()) {
	endFailuresCalls := w.endFailuresCalls
	w.after(length, func() {
		if w.endFailuresCalls == endFailuresCalls {
			end()
		}
	})
}

// randomFailureDuration draws the length of a failure, 1 to 30 s.
func (w *world) randomFailureDuration() time.Duration {
	return w.randomDuration(time.Second, 30*time.Second)
}

// pause suspends an instance for length; a pause that ends later stays in force.
func (w *world) pause(in *instance, length time.Duration) {
	in.pausedUntil = latest(in.pausedUntil, w.now.Add(length))
	in.resumesAt = in.pausedUntil
}

func (w *world) pauseInstance() {
	if in := w.anyInstance(); in != nil {
		w.pause(in, w.randomDuration(100*time.Millisecond, 30*time.Second))
		w.count("instance paused")
	}
}

func (w *world) killInstance() {
	if in := w.anyInstance(); in != nil {
		w.kill(in)
		w.count("instance died without notice")
	}
}

// kill ends an instance at once; a departure in progress is not completed.
func (w *world) kill(in *instance) {
	in.killed = true
	w.end(in)
}

// end ends an instance, and starts a replacement later at the same address or at a new one.
func (w *world) end(in *instance) {
	if in.ended {
		return
	}
	in.ended = true
	w.recordHolders(in)
	w.trace(in.incarnation, "%s ended, killed: %v", in.id, in.killed)
	w.list.record()
	w.breakSessions(in)
	address := in.address
	if w.rng.Intn(2) == 0 {
		address = ""
	}
	w.after(w.randomDuration(200*time.Millisecond, 15*time.Second), func() { w.startInstance(in.dc, address) })
}

func (w *world) takePlatformDown() {
	w.count("platform down")
	w.outages++
	w.platform.store.SetOutage(true)
	w.endFailureAfter(w.randomFailureDuration(), func() {
		w.outages--
		w.platform.store.SetOutage(w.outages > 0)
	})
}

// slowPlatform delays each platform call and each reply by 2 to 5 s; the label in the summary names the upper bound.
func (w *world) slowPlatform() {
	w.count("platform slow by 5 s")
	w.injectStoreFaults(testutil.Faults{MinDelay: 2 * time.Second, MaxDelay: 5 * time.Second})
}

// makePlatformUnreliable makes the platform lose replies, drop calls, throttle calls and apply writes late. The label in the
// summary names only the lost replies.
func (w *world) makePlatformUnreliable() {
	w.count("platform loses replies")
	w.injectStoreFaults(testutil.Faults{
		MinDelay: time.Millisecond, MaxDelay: 50 * time.Millisecond, LoseReply: 0.3, Drop: 0.1, Late: 0.1,
		MaxLate: 10 * time.Second, Throttle: 0.1,
	})
}

// injectStoreFaults replaces the faults of the store; if several overlap, the last one set stays in force until all their
// durations are over.
func (w *world) injectStoreFaults(faults testutil.Faults) {
	w.storeFaults++
	w.platform.store.SetFaults(faults)
	w.endFailureAfter(w.randomFailureDuration(), func() {
		w.storeFaults--
		if w.storeFaults == 0 {
			w.platform.store.SetFaults(normalDelays)
		}
	})
}

func (w *world) cutDatacentres() {
	a, b := w.rng.Intn(len(datacentres)), w.rng.Intn(len(datacentres))
	if a != b {
		w.count("data centres cut from each other")
		w.cutConnections(w.randomFailureDuration(), [2]string{datacentres[a], datacentres[b]})
	}
}

func (w *world) cutPlatform() {
	w.count("data centre cut from the platform")
	w.cutConnections(w.randomFailureDuration(), [2]string{datacentres[w.rng.Intn(len(datacentres))], platformSite})
}

// isolateDatacentre cuts a data centre from the platform and all other data centres.
func (w *world) isolateDatacentre() {
	w.count("data centre cut from everything")
	isolated := datacentres[w.rng.Intn(len(datacentres))]
	pairs := [][2]string{{isolated, platformSite}}
	for _, dc := range datacentres {
		if dc != isolated {
			pairs = append(pairs, [2]string{isolated, dc})
		}
	}
	w.cutConnections(w.randomFailureDuration(), pairs...)
}

// cutConnections cuts pairs of locations from each other for length. If cuts of a pair overlap, the first that is over ends
// them all.
func (w *world) cutConnections(length time.Duration, pairs ...[2]string) {
	for _, p := range pairs {
		w.net.cuts[pair(p[0], p[1])] = true
	}
	w.endFailureAfter(length, func() {
		for _, p := range pairs {
			delete(w.net.cuts, pair(p[0], p[1]))
		}
	})
}

func (w *world) loseMessages() {
	w.count("lossy network")
	w.net.lossFraction = 0.3 * w.rng.Float64()
	w.endFailureAfter(w.randomFailureDuration(), func() { w.net.lossFraction = 0 })
}

func (w *world) delayMessages() {
	w.count("network that delays and reorders")
	w.net.delayedFraction, w.net.maxExtraDelay = 0.3, w.randomDuration(10*time.Millisecond, 4*time.Second)
	w.endFailureAfter(w.randomFailureDuration(), func() { w.net.delayedFraction = 0 })
}

// silenceConnection makes the sessions between two instances silent: nothing arrives, and neither side receives a reset.
func (w *world) silenceConnection() {
	a, b := w.anyInstance(), w.anyInstance()
	if a != nil && a != b {
		w.count("connection went silent")
		w.net.silence(a.address, b.address)
	}
}

func (w *world) compactWatchHistory() {
	w.count("watch history compacted")
	w.platform.store.Compact()
}

func (w *world) reclaimEndpoint() {
	w.count("endpoint reclaimed")
	w.endpoints[w.rng.Intn(len(w.endpoints))].reclaim(w.randomDuration(5*time.Second, 30*time.Second))
}

func (w *world) reclaimDatacentreEndpoints() {
	w.count("all endpoints of a data centre reclaimed")
	dc := datacentres[w.rng.Intn(len(datacentres))]
	noticePeriod := w.randomDuration(5*time.Second, 30*time.Second)
	for _, e := range slices.Clone(w.endpoints) {
		if e.dc == dc {
			e.reclaim(noticePeriod)
		}
	}
}

func sortedNames[T any](values map[string]T) []string { return slices.Sorted(maps.Keys(values)) }
