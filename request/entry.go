package request

import (
	"sync"
	"time"
)

// Entry is a registered request: its state machine, its events and the readers
// of these. It is safe for concurrent use.
type Entry struct {
	registry *Registry
	spec     Spec

	mu      sync.Mutex // guards the fields below
	machine *Machine
	// bytes is the size of the body and the answer, as counted against the limits of Config.
	bytes int
	// generated is the size of the tokens until the request ends here, as counted against the limits of Config.
	generated int
	readers   []*Subscription
	// held is set while readers get only the events that a peer has acknowledged; see Hold.
	held bool
	// visible is the number of events that readers may see.
	visible uint64
	// onChange is called after each event and each send while the entry is held; nil for none.
	onChange func()
	// cancel cancels the attempts when the request finishes or moves; nil for none.
	cancel func()
	// onEnd is called with the finish, or with nil when the request moves; nil for none.
	onEnd func(finish *Finish)
}

func newEntry(registry *Registry, machine *Machine) *Entry {
	return &Entry{
		registry: registry, spec: machine.spec, machine: machine,
		bytes: machine.spec.bodySize(), visible: machine.EventCount(),
	}
}

// Spec returns the immutable part of the request. It must not be modified.
func (e *Entry) Spec() *Spec {
	return &e.spec
}

// Admit accepts the request; see Machine.Admit.
func (e *Entry) Admit() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Admit()
}

// MarkClaimed records that the claim of the request's key is durable.
func (e *Entry) MarkClaimed() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.MarkClaimed()
}

// BeginAttempt starts an attempt that supersedes all live ones. It returns the
// attempt's number and the tokens after which the attempt continues.
func (e *Entry) BeginAttempt() (int, []string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number, err := e.machine.BeginAttempt()
	if err != nil {
		return 0, nil, err
	}
	return number, e.machine.log.tokens(0), nil
}

// BeginHedge starts a second live attempt; see Machine.BeginHedge. It returns
// the same values as BeginAttempt.
func (e *Entry) BeginHedge() (int, []string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number, err := e.machine.BeginHedge()
	if err != nil {
		return 0, nil, err
	}
	return number, e.machine.log.tokens(0), nil
}

// MarkSent sets the send marker of an attempt. The first byte may be sent only
// if it returns nil.
func (e *Entry) MarkSent(number int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.machine.MarkSent(number); err != nil {
		return err
	}
	e.notifyHandover()
	return nil
}

// AppendToken appends a generated token and signals the readers; see
// Machine.AppendToken. It returns ErrTooLarge if the body and the tokens would
// exceed Config.MaxRequestBytes, or if the tokens do not fit beside those of the other requests in progress.
func (e *Entry) AppendToken(number, index int, token string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	size := len(token) + tokenOverhead
	if e.bytes+len(token) > e.registry.cfg.MaxRequestBytes || !e.registry.fits(e.generated+size) {
		return ErrTooLarge
	}
	if err := e.machine.AppendToken(number, index, token); err != nil {
		return err
	}
	e.generated += size
	e.registry.generated.Add(int64(size))
	e.addBytes(size)
	e.publish()
	return nil
}

// EndAttempt ends an attempt without finishing the request.
func (e *Entry) EndAttempt(number int, result AttemptResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.EndAttempt(number, result)
}

// Finish ends the request and signals the readers. It returns ErrFinished or
// ErrMoved if the request has finished or moved already.
func (e *Entry) Finish(now time.Time, finish Finish) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.machine.Finish(now, finish); err != nil {
		return err
	}
	e.addBytes(len(finish.Body))
	e.publish()
	e.registry.markFinished(e, now)
	e.cancelAttempts()
	e.callOnEnd(e.machine.finish)
	return nil
}

// Live reports whether events of the attempt are still accepted: the attempt has
// not ended and was not superseded.
func (e *Entry) Live(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.findLive(number) != nil
}

// OutcomeIfEnded returns the outcome of the request if it ended now without an
// answer: OutcomeNotRun if that is proved, otherwise OutcomeUnknown.
func (e *Entry) OutcomeIfEnded() Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.OutcomeIfEnded()
}

// MaySend reports whether another attempt may be sent.
func (e *Entry) MaySend() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.state == StateAdmitted && (e.spec.Repeatable() || !e.machine.everSent)
}

// State returns the current state of the request.
func (e *Entry) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.state
}

// Result returns the finish, or nil if the request is in progress or has moved.
func (e *Entry) Result() *Finish {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.finish
}

// Position returns the number of events so far, and how many of them are tokens.
func (e *Entry) Position() (events uint64, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.EventCount(), e.machine.log.count()
}

// DroppedEvents returns the number of events that were dropped because their
// attempt was no longer live.
func (e *Entry) DroppedEvents() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.droppedEvents
}

// SetCancel sets the function that cancels the attempts. The entry calls it when
// the request finishes or moves to a peer, and at once if that has happened
// already. It must not block or call the entry.
func (e *Entry) SetCancel(cancel func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel = cancel
	if e.machine.state == StateMoved || e.machine.state == StateFinished {
		cancel()
	}
}

// cancelAttempts calls cancel, if set. The caller holds mu.
func (e *Entry) cancelAttempts() {
	if e.cancel != nil {
		e.cancel()
	}
}

// OnEnd sets the function that is called once: with the finish when the request
// finishes, or with nil when it moves to a peer. It is not called for a request
// that ended before OnEnd. It must not block or call the entry.
func (e *Entry) OnEnd(onEnd func(finish *Finish)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onEnd = onEnd
}

// callOnEnd calls onEnd, if set, and clears it. The caller holds mu.
func (e *Entry) callOnEnd(finish *Finish) {
	if e.onEnd != nil {
		e.onEnd(finish)
		e.onEnd = nil
	}
}

// LastAttempt returns the number of the latest attempt, 0 before the first one.
func (e *Entry) LastAttempt() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.lastAttempt
}

// addBytes adds n bytes to the memory of the entry and the registry. When all
// requests together exceed Config.MaxBytes, finished ones are evicted and new
// ones are refused; requests in progress continue. The caller holds mu.
func (e *Entry) addBytes(n int) {
	e.bytes += n
	if e.registry.bytes.Add(int64(n)) > e.registry.cfg.MaxBytes {
		e.registry.evictOverLimit()
	}
}

// publish makes all events visible to the readers; while the entry is held it
// calls onChange instead. The caller holds mu.
func (e *Entry) publish() {
	if e.held {
		e.notifyHandover()
		return
	}
	e.setVisible(e.machine.EventCount())
}

// notifyHandover calls onChange while the entry is held. The caller holds mu.
func (e *Entry) notifyHandover() {
	if e.held && e.onChange != nil {
		e.onChange()
	}
}

// setVisible sets the number of visible events and signals the readers. The
// caller holds mu.
func (e *Entry) setVisible(upTo uint64) {
	e.visible = upTo
	for _, reader := range e.readers {
		reader.signalReady()
	}
}
