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

// failures is set in init because some of its functions draw further failures, which would be an initialization cycle.
var failures []failure

func init() {
	failures = []failure{
		{30, (*world).pauseOne},
		{12, (*world).killOne},
		{10, (*world).platformOutage},
		{10, (*world).platformSlow},
		{10, (*world).platformLoses},
		{10, (*world).cutDatacentres},
		{8, (*world).cutPlatform},
		{6, (*world).isolate},
		{10, (*world).loseMessages},
		{10, (*world).delayMessages},
		{10, (*world).silenceConnection},
		{4, (*world).compact},
		{14, (*world).reclaimEndpoint},
		{14, (*world).reclaimInstance},
		{6, (*world).reclaimSuccessor},
		{6, (*world).killLeaving},
		{8, (*world).stopInstance},
		{3, (*world).secondSignal},
		{1, (*world).replaceAll},
		{3, (*world).reclaimDatacentre},
		{1, (*world).longOutage},
		{1, (*world).longCut},
		{30, func(w *world) { w.operators.editConcurrently() }},
		{20, func(w *world) { w.operators.repeatEdit() }},
	}
}

// Rate of failures, and lengths of the phases in steps.
const (
	// failuresPerStep is the chance, in thousandths, of each further failure in a step.
	failuresPerStep = 450
	// phaseSteps is the length of a phase. At its start all failures are healed; for quietSteps none is injected.
	phaseSteps = 60
	quietSteps = 12
)

// injectFailures draws and injects the failures of a step.
func (w *world) injectFailures() {
	if w.steps%phaseSteps == 0 {
		w.heal()
	}
	if w.steps%phaseSteps < quietSteps {
		return
	}
	for w.rng.Intn(1000) < failuresPerStep {
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

// heal ends all failures of the network and the platform.
func (w *world) heal() {
	clear(w.net.cuts)
	clear(w.net.silentSince)
	w.net.lossFraction, w.net.delayedFraction = 0, 0
	w.outages, w.storeFaults = 0, 0
	w.generation++
	w.platform.store.SetOutage(false)
	w.platform.store.SetFaults(steadyPlatform)
	w.count("heal")
}

// endFailureAfter runs end after length, unless heal has run in between.
func (w *world) endFailureAfter(length time.Duration, end func()) {
	generation := w.generation
	w.after(length, func() {
		if w.generation == generation {
			end()
		}
	})
}

// randomFailureDuration draws the length of a failure, 1 to 30 s.
func (w *world) randomFailureDuration() time.Duration {
	return w.randomDuration(time.Second, 30*time.Second)
}

// pause stops an instance for length; an earlier, longer pause stays in force.
func (w *world) pause(in *instance, length time.Duration) {
	in.pausedUntil = latest(in.pausedUntil, w.now.Add(length))
	in.resumedAt = in.pausedUntil
}

func (w *world) pauseOne() {
	if in := w.anyInstance(); in != nil {
		w.pause(in, w.randomDuration(100*time.Millisecond, 30*time.Second))
		w.count("instance paused")
	}
}

func (w *world) killOne() {
	if in := w.anyInstance(); in != nil {
		w.kill(in)
		w.count("instance died without notice")
	}
}

// kill ends an instance without a departure or a notice.
func (w *world) kill(in *instance) {
	in.killed = true
	w.end(in)
}

// end ends an instance, and starts a replacement later at the same address or at a new one.
func (w *world) end(in *instance) {
	if in.dead {
		return
	}
	in.dead = true
	w.recordHolders(in)
	w.trace(in.incarnation, "%s is dead, killed %v", in.id, in.killed)
	w.list.record()
	w.breakSessions(in)
	address := in.address
	if w.rng.Intn(2) == 0 {
		address = ""
	}
	w.after(w.randomDuration(200*time.Millisecond, 15*time.Second), func() { w.start(in.dc, address) })
}

func (w *world) platformOutage() {
	w.count("platform down")
	w.outages++
	w.platform.store.SetOutage(true)
	w.endFailureAfter(w.randomFailureDuration(), func() {
		w.outages--
		w.platform.store.SetOutage(w.outages > 0)
	})
}

func (w *world) platformSlow() {
	w.count("platform slow by 5 s")
	w.injectStoreFaults(testutil.Faults{MinDelay: 2 * time.Second, MaxDelay: 5 * time.Second})
}

func (w *world) platformLoses() {
	w.count("platform loses replies")
	w.injectStoreFaults(testutil.Faults{
		MinDelay: time.Millisecond, MaxDelay: 50 * time.Millisecond, LoseReply: 0.3, Drop: 0.1, Late: 0.1,
		MaxLate: 10 * time.Second, Throttle: 0.1,
	})
}

// injectStoreFaults sets faults of the store; they end with the last of several overlapping ones.
func (w *world) injectStoreFaults(faults testutil.Faults) {
	w.storeFaults++
	w.platform.store.SetFaults(faults)
	w.endFailureAfter(w.randomFailureDuration(), func() {
		w.storeFaults--
		if w.storeFaults == 0 {
			w.platform.store.SetFaults(steadyPlatform)
		}
	})
}

func (w *world) cutDatacentres() {
	a, b := w.rng.Intn(len(datacentres)), w.rng.Intn(len(datacentres))
	if a != b {
		w.count("data centres cut from each other")
		w.cut(w.randomFailureDuration(), [2]string{datacentres[a], datacentres[b]})
	}
}

func (w *world) cutPlatform() {
	w.count("data centre cut from the platform")
	w.cut(w.randomFailureDuration(), [2]string{datacentres[w.rng.Intn(len(datacentres))], platformSite})
}

// isolate cuts a data centre from the platform and all other data centres.
func (w *world) isolate() {
	w.count("data centre cut from everything")
	isolated := datacentres[w.rng.Intn(len(datacentres))]
	pairs := [][2]string{{isolated, platformSite}}
	for _, dc := range datacentres {
		if dc != isolated {
			pairs = append(pairs, [2]string{isolated, dc})
		}
	}
	w.cut(w.randomFailureDuration(), pairs...)
}

func (w *world) cut(length time.Duration, pairs ...[2]string) {
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

func (w *world) silenceConnection() {
	a, b := w.anyInstance(), w.anyInstance()
	if a != nil && a != b {
		w.count("connection went silent")
		w.net.mute(a.address, b.address)
	}
}

func (w *world) compact() {
	w.count("watch history compacted")
	w.platform.store.Compact()
}

func (w *world) reclaimEndpoint() {
	w.count("endpoint reclaimed")
	w.endpoints[w.rng.Intn(len(w.endpoints))].reclaim(w.randomDuration(5*time.Second, 30*time.Second))
}

func (w *world) reclaimDatacentre() {
	w.count("all endpoints of a data centre reclaimed")
	dc := datacentres[w.rng.Intn(len(datacentres))]
	notice := w.randomDuration(5*time.Second, 30*time.Second)
	for _, e := range slices.Clone(w.endpoints) {
		if e.dc == dc {
			e.reclaim(notice)
		}
	}
}

func sortedNames[T any](values map[string]T) []string { return slices.Sorted(maps.Keys(values)) }
