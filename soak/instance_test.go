package soak

import (
	"math/rand"
	"time"

	"github.com/oklog/ulid/v2"

	"knapweedhoist/catalog"
	"knapweedhoist/control"
	"knapweedhoist/handover"
	"knapweedhoist/membership"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// instance is one incarnation of an entry instance, wired as in the root package but without sockets.
type instance struct {
	w           *world
	id          string
	incarnation string
	dc          string
	address     string
	core        *control.Core
	view        *control.View

	ended       bool
	pausedUntil time.Time
	// resumesAt is the end of the last pause, or the start if there was none.
	resumesAt time.Time
	startedAt time.Time
	// inbox holds the actions that arrived during a pause.
	inbox []func()
	// revision is the last published configuration revision.
	revision uint64

	// listReadAt and polledAt are the times of the last reads of the list and of notices and loads.
	listReadAt time.Time
	// listed reports whether the first read of the list has arrived.
	listed   bool
	polledAt time.Time
	// noticeFrom is the index of the next cloud notice to read.
	noticeFrom int

	registry *request.Registry
	source   *handover.Source
	target   *handover.Target
	runner   *runner
	// claims and acks hold the answer functions of claim requests and of reports of a claim's end, by reference.
	claims map[uint64]func(any)
	acks   map[uint64]func(any)
	// leaveSeenAt is when this instance first saw the leave of an endpoint, by the endpoint's incarnation.
	leaveSeenAt map[string]time.Time

	leaving, reclaimed bool
	// releaseAt is when a departure hands over the requests that are still open, and endAt when it ends at the latest.
	releaseAt, endAt, leavingSince time.Time
	sourceTickedAt, targetTickedAt time.Time
	// stoppedAt is when the departure was done or its time was over, zero before.
	stoppedAt time.Time
	// killed reports whether kill ended the instance, or the cloud did before its departure began.
	killed       bool
	secondSignal bool
	// failuresWhileLeaving reports whether other failures were in force during the departure.
	failuresWhileLeaving bool
	// previousCatalog is the catalogue that the planted fault olderRevision publishes next, nil before its first draw.
	previousCatalog *catalog.Snapshot
}

func newInstance(w *world, id, dc, address string) *instance {
	in := &instance{
		w: w, id: id, dc: dc, address: address, startedAt: w.now, resumesAt: w.now,
		incarnation: ulid.MustNew(ulid.Timestamp(w.now), w.rng).String(),
	}
	in.core = control.New(control.Config{
		Member: membership.Config{
			ID: id, Incarnation: in.incarnation, Datacentre: dc,
			PeerAddress: address, DatagramAddress: address, OperatorAddress: address,
		},
		Shards: shards, Rand: rand.New(rand.NewSource(w.rng.Int63())), Logger: discardLog,
		Recorder: timeline.Discard, Checker: w.checker,
	}, w.now)
	in.view = in.core.View()
	in.claims, in.acks = make(map[uint64]func(any)), make(map[uint64]func(any))
	in.leaveSeenAt = make(map[string]time.Time)
	in.runner = &runner{in: in}
	in.registry = request.NewRegistry(in.incarnation, w.checker, request.Config{})
	in.source = handover.NewSource(in.incarnation, in.registry, transport{in}, w.checker)
	in.target = handover.NewTarget(in.incarnation, handover.TargetConfig{}, in.registry, in.runner, w.checker)
	return in
}

// do runs an action in the instance. A paused instance queues it until it resumes; an ended one drops it.
func (in *instance) do(action func()) {
	switch {
	case in.ended:
	case in.paused(), len(in.inbox) > 0:
		in.inbox = append(in.inbox, action)
	default:
		action()
	}
}

func (in *instance) paused() bool { return in.w.now.Before(in.pausedUntil) }

// awake reports whether the instance has not ended and is not paused.
func (in *instance) awake() bool { return !in.ended && !in.paused() }

// tick runs the queued actions and one iteration of the instance's loops.
func (in *instance) tick() {
	if !in.awake() {
		return
	}
	for len(in.inbox) > 0 && !in.ended {
		first := in.inbox[0]
		in.inbox = in.inbox[1:]
		first()
	}
	if in.ended {
		return
	}
	in.step(control.Ticked{Stamp: timeline.Stamp{WallMs: in.w.now.UnixMilli()}})
	in.poll()
	in.runner.tick()
	in.pollHandover()
	in.recordFailuresWhileLeaving()
}

// step passes an event to the control code and applies the resulting effects.
func (in *instance) step(event control.Event) {
	for _, effect := range in.core.Step(in.w.now, event) {
		in.applyEffect(effect)
	}
}

// hasPeer reports whether another instance runs that can accept copies and has run long enough for its heartbeats to
// arrive.
func (in *instance) hasPeer() bool {
	return in.w.pick(func(other *instance) bool {
		return other != in && other.awake() && !other.leaving && in.w.now.Sub(latest(other.startedAt, other.resumesAt)) > sessionTimeout
	}) != nil
}

// recordFailuresWhileLeaving sets failuresWhileLeaving if a failure, a recent pause, the lack of a peer or the end or pause of
// the successor coincides with the departure.
func (in *instance) recordFailuresWhileLeaving() {
	if in.leaving && (!in.w.calm() || in.w.now.Sub(in.resumesAt) < sessionTimeout || !in.hasPeer()) {
		in.failuresWhileLeaving = true
	}
	if name := in.source.Successor(); in.leaving && name != "" {
		successor := in.w.instanceByIncarnation(name)
		in.failuresWhileLeaving = in.failuresWhileLeaving || successor == nil || !successor.awake()
	}
}
