package soak

import (
	"fmt"
	"log/slog"
	"math/rand"
	"os"
	"strings"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/claim"
	"knapweedhoist/control"
	"knapweedhoist/request"
	"knapweedhoist/testutil"
	"knapweedhoist/wire"
)

// Numbers of shards, entry instances and endpoints in a run.
const (
	shards         = 8
	entryInstances = 8
	engines        = 10
	plainServers   = 4
)

var datacentres = []string{"quito-norte", "quito-sur", "ambato", "riobamba"}

var discardLog = slog.New(slog.DiscardHandler)

// world is one simulation run: the deployment, the injected failures and the detected faults.
type world struct {
	seed          int64
	rng           *rand.Rand
	now           time.Time
	steps         int
	eventQueue    eventQueue
	net           *network
	platform      *platform
	list          *platformList
	checker       *testutil.Checker
	plantedFaults plantedFaults

	instances []*instance
	endpoints []*endpoint
	notices   []cloudNotice
	operators *operators
	// jobs holds the open jobs, byID and allJobs all jobs, and ranByKey the job that ran for a key.
	jobs     []*job
	byID     map[request.ID]*job
	ranByKey map[string]*job
	allJobs  []*job
	outcomes map[string]int
	verdicts map[claim.Verdict]int
	// lastClaimRef is the last reference given to a claim request or to the report of a claim's end.
	lastClaimRef           uint64
	jobsMade, leaseChanges int
	// acceptNewJobs reports whether new requests are submitted.
	acceptNewJobs bool
	// lastFetchRef is the last reference given to a fetch of a configuration document; configWaiters holds the answer
	// functions by reference.
	lastFetchRef  uint64
	configWaiters map[uint64]func(any)

	instancesMade, endpointsMade, ordersGiven int
	// calmSince is the last time at which a failure of the platform or the network was in force, or the start of the run.
	calmSince time.Time
	// outages and storeFaults count the overlapping platform outages and store faults in force.
	outages, storeFaults int
	// endFailuresCalls counts the calls of endNetworkAndPlatformFailures.
	endFailuresCalls int
	// longFailureActive reports whether a long failure is in force.
	longFailureActive bool
	// brief leaves out the failures that last for minutes.
	brief bool
	// lastCheckAt is the time of the last checks of everySecond.
	lastCheckAt time.Time
	// injected counts injected failures and other events, by label.
	injected map[string]int
	faults   []string
}

func newWorld(seed int64, planted plantedFaults) *world {
	w := &world{
		seed: seed, rng: rand.New(rand.NewSource(seed)), now: time.UnixMilli(1_800_000_000_000), plantedFaults: planted,
		checker: testutil.NewChecker(), configWaiters: make(map[uint64]func(any)), injected: make(map[string]int),
		byID: make(map[request.ID]*job), ranByKey: make(map[string]*job), outcomes: make(map[string]int),
		verdicts: make(map[claim.Verdict]int),
	}
	w.calmSince = w.now
	w.net = newNetwork(w)
	w.platform = newPlatform(w)
	w.list = &platformList{w: w}
	w.operators = newOperators(w)
	for i := range engines {
		w.addEndpoint(datacentres[i%len(datacentres)], modelService, catalog.KindModel, i%2 == 0)
	}
	for i := range plainServers {
		w.addEndpoint(datacentres[i%len(datacentres)], plainService, catalog.KindPlain, false)
	}
	for i := range entryInstances {
		w.startInstance(datacentres[i%len(datacentres)], "")
	}
	return w
}

// Names of the services.
const (
	modelService = "asistente"
	plainService = "reservas"
)

// startInstance starts an instance, at the given address of a former one or, if that is empty, at an address of its own.
func (w *world) startInstance(dc, address string) {
	w.instancesMade++
	id := fmt.Sprintf("entry-%d", w.instancesMade)
	if address == "" {
		address = "10.0.0." + id
	}
	in := newInstance(w, id, dc, address)
	w.instances = append(w.instances, in)
	w.list.record()
}

// instanceAt returns the live instance that has an address, nil if there is none.
func (w *world) instanceAt(address string) *instance {
	for _, in := range w.instances {
		if !in.ended && in.address == address {
			return in
		}
	}
	return nil
}

// instanceByIncarnation returns the instance with an incarnation, nil after it has been removed.
func (w *world) instanceByIncarnation(name string) *instance {
	for _, in := range w.instances {
		if in.incarnation == name {
			return in
		}
	}
	return nil
}

// anyInstance draws a running instance that is not leaving, nil if there is none.
func (w *world) anyInstance() *instance {
	return w.pick(func(in *instance) bool { return in.awake() && !in.leaving })
}

// pick draws one of the matching instances, nil if there is none.
func (w *world) pick(match func(*instance) bool) *instance {
	var found []*instance
	for _, in := range w.instances {
		if match(in) {
			found = append(found, in)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[w.rng.Intn(len(found))]
}

// after schedules run after wait.
func (w *world) after(wait time.Duration, run func()) { w.eventQueue.add(w.now.Add(wait), run) }

// randomDuration draws a duration of at least least and below most.
func (w *world) randomDuration(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.rng.Int63n(int64(most-least)))
}

// trace prints a line if about contains the value of SOAK_TRACE, for example a request ID or an incarnation.
func (w *world) trace(about, format string, args ...any) {
	if traced := os.Getenv("SOAK_TRACE"); traced != "" && strings.Contains(about, traced) {
		fmt.Printf("%s step %d %s: %s\n", w.now.Format("15:04:05.000"), w.steps, about, fmt.Sprintf(format, args...))
	}
}

func (w *world) count(kind string) { w.injected[kind]++ }

// fail records a fault; only the first 10 are kept.
func (w *world) fail(format string, args ...any) {
	if len(w.faults) < 10 {
		w.faults = append(w.faults, fmt.Sprintf("step %d: ", w.steps)+fmt.Sprintf(format, args...))
	}
}

// configServed passes a configuration document to the waiting fetch.
func (w *world) configServed(_ *instance, e control.ConfigServed) {
	answer := w.configWaiters[e.Ref]
	delete(w.configWaiters, e.Ref)
	if e.Document == nil {
		answer((*wire.ConfigDocument)(nil))
		return
	}
	answer(e.Document)
}

// calm reports whether no failure of the platform or the network is in force.
func (w *world) calm() bool { return w.net.calm() && w.outages == 0 && w.storeFaults == 0 }

// run makes a number of steps, ends the failures of the network and the platform, lets the open requests finish, and checks
// all jobs and the invariants. A step lasts one second, and longer if it injects a long failure.
func (w *world) run(steps int) {
	w.elapse(settleTime)
	w.operators.setUp()
	w.elapse(settleTime)
	w.acceptNewJobs = true
	for range steps {
		w.steps++
		w.injectFailures()
		w.elapse(stepLength)
	}
	w.endNetworkAndPlatformFailures()
	w.acceptNewJobs = false
	w.finishOpenJobs()
	for _, j := range w.allJobs {
		j.check()
	}
	for _, name := range sortedNames(w.checker.First) {
		v := w.checker.First[name]
		w.fail("invariant %s: %s (%s, peer %s, request %s)", name, v.Detail, v.Step, v.Peer, v.Request)
	}
}

// finishOpenJobs lets scripted time pass until all open jobs have ended, at most maxFinishTime after settleTime.
func (w *world) finishOpenJobs() {
	w.elapse(settleTime)
	for limit := w.now.Add(maxFinishTime); len(w.jobs) > 0 && w.now.Before(limit); {
		w.elapse(stepLength)
	}
}

// Lengths of scripted time: of a step, of the time without failures around start and end, and of the final wait.
const (
	stepLength    = time.Second
	settleTime    = 8 * time.Second
	maxFinishTime = 240 * time.Second
)

// elapse lets scripted time pass in ticks of the control goroutines.
func (w *world) elapse(length time.Duration) {
	end := w.now.Add(length)
	for w.now.Before(end) {
		w.tick(control.TickInterval)
	}
}

// tick advances the clock by length: it runs the due actions, then ticks the platform, each instance and the callers.
func (w *world) tick(length time.Duration) {
	until := w.now.Add(length)
	for {
		at, run := w.eventQueue.next(until)
		if run == nil {
			break
		}
		w.now = latest(w.now, at)
		run()
	}
	w.now = until
	w.platform.advance()
	for _, in := range w.instances {
		in.tick()
	}
	w.tickCallers()
	if !w.calm() {
		w.calmSince = w.now
	}
	w.everySecond()
}

// tickCallers submits new requests, ticks the callers of open jobs and drops the ended ones.
func (w *world) tickCallers() {
	if w.acceptNewJobs {
		w.submitNewJobs()
	}
	open := w.jobs[:0]
	for _, j := range w.jobs {
		j.caller.tick()
		if j.finish == nil && !j.unknownEverywhere {
			open = append(open, j)
		}
	}
	w.jobs = open
}

// everySecond makes the checks that are not needed in each tick, and lets lease holders give orders.
func (w *world) everySecond() {
	if w.now.Sub(w.lastCheckAt) < time.Second {
		return
	}
	w.lastCheckAt = w.now
	w.operators.check()
	for _, in := range w.instances {
		if !in.ended {
			w.giveOrder(in)
		}
	}
	w.removeEnded()
}

// removeEnded removes ended instances and endpoints from the lists of the run, so that the lists do not grow in a long run.
func (w *world) removeEnded() {
	live := w.instances[:0]
	for _, in := range w.instances {
		if !in.ended {
			live = append(live, in)
		}
	}
	w.instances = live
	running := w.endpoints[:0]
	for _, e := range w.endpoints {
		if !e.ended {
			running = append(running, e)
		}
	}
	w.endpoints = running
}
