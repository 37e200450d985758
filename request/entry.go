package request

import (
	"sync"
	"time"
)

// Entry is a registered request: its lifecycle, its events and their readers.
// It is safe for concurrent use.
type Entry struct {
	registry *Registry
	spec     Spec

	mu      sync.Mutex // guards the fields below
	machine *Machine
	bytes   int
	readers []*Subscription
	// held: readers get events only up to visible, the position that a peer acknowledged.
	held    bool
	visible uint64
	// changed is called after each event while the entry is held.
	changed func()
	// onStop is called when no attempt is needed any more.
	onStop func()
	// onEnd is called at the finish, or with nil when a peer takes over.
	onEnd func(finish *Finish)
}

func newEntry(registry *Registry, machine *Machine) *Entry {
	return &Entry{
		registry: registry, spec: machine.spec, machine: machine,
		bytes: machine.spec.size(), visible: machine.Events(),
	}
}

// Spec returns the immutable part of the request. It must not be modified.
func (e *Entry) Spec() *Spec {
	return &e.spec
}

// Admit accepts the request.
func (e *Entry) Admit() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Admit()
}

// Claimed tells that the claim of the request's key is durable.
func (e *Entry) Claimed() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Claimed()
}

// Begin starts an attempt that replaces all live ones. It returns its number
// and the tokens from which it continues.
func (e *Entry) Begin() (int, []string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number, err := e.machine.Begin()
	if err != nil {
		return 0, nil, err
	}
	return number, e.machine.log.tokens(0), nil
}

// BeginHedge starts an attempt beside the live one.
func (e *Entry) BeginHedge() (int, []string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number, err := e.machine.BeginHedge()
	if err != nil {
		return 0, nil, err
	}
	return number, e.machine.log.tokens(0), nil
}

// MarkSent sets the send marker; without error the first byte may be sent.
func (e *Entry) MarkSent(number int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.machine.MarkSent(number); err != nil {
		return err
	}
	e.notifyHeld()
	return nil
}

// Token adds a generated token at position index of the answer and wakes the readers.
func (e *Entry) Token(number, index int, token string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bytes+len(token) > e.registry.cfg.MaxRequestBytes {
		return ErrTooLarge
	}
	if err := e.machine.Token(number, index, token); err != nil {
		return err
	}
	e.grow(len(token) + tokenOverhead)
	e.publish()
	return nil
}

// End ends an attempt without finishing the request.
func (e *Entry) End(number int, result Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.End(number, result)
}

// Finish ends the request and wakes the readers.
func (e *Entry) Finish(now time.Time, finish Finish) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.machine.Finish(now, finish); err != nil {
		return err
	}
	e.grow(len(finish.Body))
	e.publish()
	e.registry.finished(e, now)
	e.stop()
	e.end(e.machine.finish)
	return nil
}

// Live reports whether events of the attempt still count.
func (e *Entry) Live(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.find(number) != nil
}

// Unfinished returns the outcome that is proved when the request stops now.
func (e *Entry) Unfinished() Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Unfinished()
}

// MaySend reports whether another attempt may be sent.
func (e *Entry) MaySend() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.state == StateAdmitted && (e.spec.Repeatable() || !e.machine.everSent)
}

// State returns the position in the lifecycle.
func (e *Entry) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.state
}

// Result returns the finish, or nil while the request is in progress.
func (e *Entry) Result() *Finish {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.finish
}

// Position returns the number of events so far and of tokens among them.
func (e *Entry) Position() (events uint64, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Events(), e.machine.log.count()
}

// Late returns how many events of superseded attempts were dropped.
func (e *Entry) Late() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.late
}

// OnStop sets the function that is called when no attempt is needed any more,
// because the request finished or a peer took it over. It is called at once
// when that has happened already. It must not block or call the entry.
func (e *Entry) OnStop(stop func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onStop = stop
	if e.machine.state == StateMoved || e.machine.state == StateFinished {
		stop()
	}
}

// stop calls onStop. The caller holds mu.
func (e *Entry) stop() {
	if e.onStop != nil {
		e.onStop()
	}
}

// OnEnd sets the function that is called once at the finish, or with nil when
// a peer takes the request over. It must not block or call the entry.
func (e *Entry) OnEnd(ended func(finish *Finish)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onEnd = ended
}

// end calls onEnd once. The caller holds mu.
func (e *Entry) end(finish *Finish) {
	if e.onEnd != nil {
		e.onEnd(finish)
		e.onEnd = nil
	}
}

// Attempts returns the number of the last attempt, 0 before the first one.
func (e *Entry) Attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.last
}

// grow accounts for memory. Accepted requests are not cut when all of them
// together exceed the registry's limit: finished ones are forgotten first, and
// new ones are refused. The caller holds mu.
func (e *Entry) grow(n int) {
	e.bytes += n
	if e.registry.bytes.Add(int64(n)) > e.registry.cfg.MaxBytes {
		e.registry.shrink()
	}
}

// publish makes new events visible. The caller holds mu.
func (e *Entry) publish() {
	if e.held {
		e.notifyHeld()
		return
	}
	e.show(e.machine.Events())
}

// notifyHeld tells the handover of a change. The caller holds mu.
func (e *Entry) notifyHeld() {
	if e.held && e.changed != nil {
		e.changed()
	}
}

// show moves the visible position and wakes the readers. The caller holds mu.
func (e *Entry) show(upTo uint64) {
	e.visible = upTo
	for _, reader := range e.readers {
		reader.wake()
	}
}
