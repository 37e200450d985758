package testutil

import (
	"time"

	"knapweedhoist/objectapi"
)

// Machine is one instance's state machine as the Driver runs it.
type Machine interface {
	Tick(now time.Time) []objectapi.Call
	Done(now time.Time, done objectapi.Done) []objectapi.Call
}

// Driver runs machines against a Store under a scripted clock, each as one
// control goroutine would: replies and ticks one at a time.
type Driver struct {
	Now   time.Time
	Store *Store
	seats []*seat
	byID  map[string]*seat
}

type seat struct {
	id      string
	machine Machine
	paused  time.Time
	inbox   []objectapi.Done
}

// NewDriver returns a Driver whose clock starts at now.
func NewDriver(now time.Time, store *Store) *Driver {
	return &Driver{Now: now, Store: store, byID: make(map[string]*seat)}
}

// Add starts a machine under a new id, or replaces the machine with that id.
func (d *Driver) Add(id string, machine Machine) {
	if s, ok := d.byID[id]; ok {
		s.machine, s.inbox = machine, nil
		return
	}
	s := &seat{id: id, machine: machine}
	d.seats = append(d.seats, s)
	d.byID[id] = s
}

// Pause stops the machine for a while; its replies wait.
func (d *Driver) Pause(id string, length time.Duration) {
	d.Store.Injected["pause"]++
	d.byID[id].paused = d.Now.Add(length)
}

// Paused reports whether the machine is paused.
func (d *Driver) Paused(id string) bool { return d.Now.Before(d.byID[id].paused) }

// Submit sends calls that a machine returned outside Tick and Done.
func (d *Driver) Submit(id string, calls []objectapi.Call) { d.Store.Submit(d.Now, id, calls...) }

// Step advances the clock, delivers replies and ticks the machines that are not paused.
func (d *Driver) Step(length time.Duration) {
	d.Now = d.Now.Add(length)
	for _, delivery := range d.Store.Advance(d.Now) {
		s := d.byID[delivery.To]
		s.inbox = append(s.inbox, delivery.Done)
	}
	for _, s := range d.seats {
		if d.Now.Before(s.paused) {
			continue
		}
		d.run(s)
	}
}

func (d *Driver) run(s *seat) {
	inbox := s.inbox
	s.inbox = nil
	for _, done := range inbox {
		d.Store.Submit(d.Now, s.id, s.machine.Done(d.Now, done)...)
	}
	d.Store.Submit(d.Now, s.id, s.machine.Tick(d.Now)...)
}
