package testutil

import (
	"time"

	"knapweedhoist/objectapi"
)

// Machine is the state machine of one instance. Tick and Done return the calls that the Driver submits to the Store.
type Machine interface {
	Tick(now time.Time) []objectapi.Call
	Done(now time.Time, done objectapi.CallResult) []objectapi.Call
}

// Driver runs the machines of several instances against a Store under a simulated
// clock. It calls each machine sequentially, as the control goroutine of an
// instance does: first the replies, then one tick per step.
type Driver struct {
	Now       time.Time
	Store     *Store
	instances []*instance
	byID      map[string]*instance
}

type instance struct {
	id          string
	machine     Machine
	pausedUntil time.Time
	inbox       []objectapi.CallResult
}

// NewDriver returns a Driver whose clock starts at now.
func NewDriver(now time.Time, store *Store) *Driver {
	return &Driver{Now: now, Store: store, byID: make(map[string]*instance)}
}

// Add registers a machine under the id. When the id is in use, it replaces the machine and discards the replies
// that are queued in its inbox.
func (d *Driver) Add(id string, machine Machine) {
	if inst, ok := d.byID[id]; ok {
		inst.machine, inst.inbox = machine, nil
		return
	}
	inst := &instance{id: id, machine: machine}
	d.instances = append(d.instances, inst)
	d.byID[id] = inst
}

// Pause suspends the instance for the duration length. Replies queue in its inbox until it resumes.
func (d *Driver) Pause(id string, length time.Duration) {
	d.Store.Injected["pause"]++
	d.byID[id].pausedUntil = d.Now.Add(length)
}

// Paused reports whether the instance is paused at the current simulated time.
func (d *Driver) Paused(id string) bool { return d.Now.Before(d.byID[id].pausedUntil) }

// Submit submits calls that a machine returned from a method other than Tick and Done.
func (d *Driver) Submit(id string, calls []objectapi.Call) { d.Store.Submit(d.Now, id, calls...) }

// Step advances the clock by length, queues the replies that are due, then delivers the queued replies to each instance
// that is not paused and ticks it.
func (d *Driver) Step(length time.Duration) {
	d.Now = d.Now.Add(length)
	for _, delivery := range d.Store.Advance(d.Now) {
		inst := d.byID[delivery.To]
		inst.inbox = append(inst.inbox, delivery.Done)
	}
	for _, inst := range d.instances {
		if d.Now.Before(inst.pausedUntil) {
			continue
		}
		d.deliverAndTick(inst)
	}
}

// deliverAndTick passes the replies in the instance's inbox to its machine, then ticks the machine.
func (d *Driver) deliverAndTick(inst *instance) {
	inbox := inst.inbox
	inst.inbox = nil
	for _, done := range inbox {
		d.Store.Submit(d.Now, inst.id, inst.machine.Done(d.Now, done)...)
	}
	d.Store.Submit(d.Now, inst.id, inst.machine.Tick(d.Now)...)
}
