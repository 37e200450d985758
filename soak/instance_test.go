package soak

import (
	"math/rand"
	"time"

	"github.com/oklog/ulid/v2"

	"knapweedhoist/catalog"
	"knapweedhoist/control"
	"knapweedhoist/membership"
	"knapweedhoist/timeline"
)

// instance is one incarnation of an entry instance: what the root package wires, without its sockets.
type instance struct {
	w           *world
	id          string
	incarnation string
	dc          string
	address     string
	core        *control.Core
	view        *control.View

	dead        bool
	pausedUntil time.Time
	resumedAt   time.Time
	startedAt   time.Time
	inbox       []func()
	// revision is the highest that readers have seen here.
	revision uint64

	listReadAt time.Time
	listed     bool
	polledAt   time.Time
	noticeFrom int

	leaving bool
	// older is a former catalogue, for a planted fault.
	older *catalog.Snapshot
}

func newInstance(w *world, id, dc, address string) *instance {
	in := &instance{
		w: w, id: id, dc: dc, address: address, startedAt: w.now, resumedAt: w.now,
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
	return in
}

// do runs an action in the instance; a paused one runs it when it goes on, a dead one never.
func (in *instance) do(action func()) {
	switch {
	case in.dead:
	case in.paused():
		in.inbox = append(in.inbox, action)
	default:
		action()
	}
}

func (in *instance) paused() bool { return in.w.now.Before(in.pausedUntil) }

// awake reports whether the instance runs.
func (in *instance) awake() bool { return !in.dead && !in.paused() }

// tick is one turn of the instance's loops.
func (in *instance) tick() {
	if !in.awake() {
		return
	}
	for len(in.inbox) > 0 && !in.dead {
		first := in.inbox[0]
		in.inbox = in.inbox[1:]
		first()
	}
	if in.dead {
		return
	}
	in.step(control.Ticked{Stamp: timeline.Stamp{WallMs: in.w.now.UnixMilli()}})
	in.poll()
}

// step passes an event to the control code and carries the effects out.
func (in *instance) step(event control.Event) {
	for _, effect := range in.core.Step(in.w.now, event) {
		in.perform(effect)
	}
}

// reclaim tells that the instance ends after left.
func (in *instance) reclaim(time.Duration) { in.leaving = true }
