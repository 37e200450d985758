// Package request implements the lifecycle of requests: attempts at endpoints,
// numbered events, the send marker, the outcome, and the registry of requests
// that callers re-attach to.
//
// The gateway registers requests and reads their events, the backend drives
// their attempts, and the handover copies them to a peer. An Entry guards its
// Machine with the entry's lock, and the Registry has a lock for its map of
// entries; the entry's lock is taken first.
package request

import (
	"fmt"
	"slices"
	"time"

	"knapweedhoist/invariant"
)

// Names of the invariants that this package checks.
const (
	InvariantEventGap         = "request/event_gap"
	InvariantEventRepeat      = "request/event_repeat"
	InvariantNotRunAfterSend  = "request/not_run_after_send"
	InvariantSentTwice        = "request/sent_twice"
	InvariantSentWithoutClaim = "request/sent_without_claim"
	InvariantAfterFinish      = "request/after_finish"
	InvariantSentAfterMove    = "request/sent_after_move"
)

// Machine is the state machine of one request. It is not safe for concurrent
// use; Entry guards it with a mutex.
type Machine struct {
	spec    Spec
	checker invariant.Checker

	state   State
	claimed bool
	// lastAttempt is the number of the latest attempt, 0 before the first one. The numbers continue after a handover.
	lastAttempt int
	// openAttempts are the attempts that have not ended. Two of them are live only during a hedge.
	openAttempts []attempt
	// possibleRuns counts the sent attempts that no result proved to be unsent or refused.
	possibleRuns int
	// everSent is set when a byte may have reached an endpoint, even if the endpoint refused the request.
	// EndAttempt clears it when results prove that no byte did.
	everSent bool
	// everRefused is set when an endpoint received the request and refused it.
	everRefused bool
	log         tokenLog
	// droppedEvents counts the events of attempts that were no longer live.
	droppedEvents int
	// peerMayRun is set when a peer that holds a copy may run the request, so that not_run cannot be proved.
	peerMayRun bool
	finish     *Finish
	finishedAt time.Time
}

// NewMachine returns the state machine of a request in StateReceived.
func NewMachine(spec Spec, checker invariant.Checker) *Machine {
	return &Machine{spec: spec, checker: checker, state: StateReceived}
}

// Admit moves the request from StateReceived to StateAdmitted. In any other
// state it returns ErrFinished, ErrMoved or an error that wraps ErrState.
func (m *Machine) Admit() error {
	if m.state != StateReceived {
		return m.stateError("admit")
	}
	m.state = StateAdmitted
	return nil
}

// MarkClaimed records that the claim of the request's key is durable.
func (m *Machine) MarkClaimed() error {
	if m.state != StateAdmitted {
		return m.stateError("claim")
	}
	m.claimed = true
	return nil
}

// BeginAttempt starts an attempt that supersedes all live ones, and returns its number.
func (m *Machine) BeginAttempt() (int, error) {
	if m.state != StateAdmitted {
		return 0, m.stateError("begin")
	}
	m.supersedeAll()
	return m.addAttempt(), nil
}

// BeginHedge starts a second live attempt and returns its number. The next token
// supersedes the attempt that did not produce it, so the caller starts a hedge
// only while the live attempt has produced no token; this is not checked.
func (m *Machine) BeginHedge() (int, error) {
	if m.state != StateAdmitted || m.liveCount() != 1 {
		return 0, m.stateError("hedge")
	}
	if !m.spec.Repeatable() {
		return 0, ErrSentOnce
	}
	return m.addAttempt(), nil
}

func (m *Machine) addAttempt() int {
	m.lastAttempt++
	m.openAttempts = append(m.openAttempts, attempt{number: m.lastAttempt, live: true})
	return m.lastAttempt
}

// MarkSent sets the send marker of an attempt. It must succeed before the first
// byte of the attempt is sent to an endpoint.
func (m *Machine) MarkSent(number int) error {
	if err := m.checkSend(number); err != nil {
		return err
	}
	m.findLive(number).sent = true
	m.everSent = true
	m.possibleRuns++
	return nil
}

// checkSend returns the reason why the attempt must not be sent, or nil. If a
// live attempt must not be sent, it also reports the violated invariant.
func (m *Machine) checkSend(number int) error {
	live := m.findLive(number)
	switch {
	case live == nil:
		return m.notLiveError()
	case m.state == StateMoved:
		m.reportViolation(InvariantSentAfterMove, "send", number)
		return ErrMoved
	case m.state == StateFinished:
		m.reportViolation(InvariantAfterFinish, "send", number)
		return ErrFinished
	case m.spec.NeedsClaim && !m.claimed:
		m.reportViolation(InvariantSentWithoutClaim, "send", number)
		return ErrNotClaimed
	case live.sent, m.everSent && !m.spec.Repeatable():
		m.reportViolation(InvariantSentTwice, "send", number)
		return ErrSentOnce
	}
	return nil
}

// notLiveError returns the error for attempts that are no longer live. Their
// calls violate no invariant: the request may finish or move while an attempt is
// about to start.
func (m *Machine) notLiveError() error {
	switch m.state {
	case StateFinished:
		return ErrFinished
	case StateMoved:
		return ErrMoved
	default:
		return ErrSuperseded
	}
}

// AppendToken appends a generated token. index is its index in the whole answer,
// from 0; if that is not the next one, AppendToken returns ErrIndex. A token of an
// attempt that is no longer live is dropped and counted, and AppendToken returns
// ErrFinished, ErrMoved or ErrSuperseded.
func (m *Machine) AppendToken(number, index int, token string) error {
	if m.findLive(number) == nil {
		m.droppedEvents++
		return m.notLiveError()
	}
	if m.state != StateAdmitted {
		m.reportViolation(InvariantAfterFinish, "token", number)
		return m.notLiveError()
	}
	if index != m.log.count() {
		m.reportViolation(indexInvariant(index, m.log.count()), "token", number)
		return ErrIndex
	}
	m.supersedeOthers(number)
	m.log.append(token)
	return nil
}

// indexInvariant returns the invariant that a token violates if its index is not
// the next one.
func indexInvariant(index, next int) string {
	if index < next {
		return InvariantEventRepeat
	}
	return InvariantEventGap
}

// EndAttempt ends an attempt without finishing the request. The result of an
// attempt that is no longer live still counts as proof that it was unsent or
// refused.
func (m *Machine) EndAttempt(number int, result AttemptResult) {
	i := slices.IndexFunc(m.openAttempts, func(a attempt) bool { return a.number == number })
	if i < 0 {
		return
	}
	sent := m.openAttempts[i].sent
	m.openAttempts = slices.Delete(m.openAttempts, i, i+1)
	if sent && (result == ResultUnsent || result == ResultRefused) {
		m.possibleRuns--
	}
	if result == ResultUnsent && m.possibleRuns == 0 {
		m.everSent = m.everRefused
	}
	m.everRefused = m.everRefused || (sent && result == ResultRefused)
}

// Finish ends the request. It changes OutcomeNotRun to OutcomeUnknown when a
// sent attempt or a peer may have run the request.
func (m *Machine) Finish(now time.Time, finish Finish) error {
	switch m.state {
	case StateFinished:
		return ErrFinished
	case StateMoved:
		return ErrMoved
	}
	if finish.Outcome == OutcomeNotRun && m.possibleRuns > 0 {
		m.reportViolation(InvariantNotRunAfterSend, "finish", m.lastAttempt)
		finish.Outcome = OutcomeUnknown
	}
	if finish.Outcome == OutcomeNotRun && m.peerMayRun {
		finish.Outcome = OutcomeUnknown
	}
	m.state = StateFinished
	m.finish = &finish
	m.finishedAt = now
	m.supersedeAll()
	return nil
}

// MoveUnsent is Move for a request of which no byte was sent; otherwise it
// returns ErrSentOnce.
func (m *Machine) MoveUnsent() error {
	if m.everSent {
		return ErrSentOnce
	}
	return m.Move()
}

// Move marks the request as owned by a peer. Later events of its attempts are
// dropped.
func (m *Machine) Move() error {
	if m.state != StateAdmitted {
		return m.stateError("move")
	}
	m.state = StateMoved
	m.supersedeAll()
	return nil
}

// OutcomeIfEnded returns the outcome of the request if it ended now without an
// answer: OutcomeNotRun if that is proved, otherwise OutcomeUnknown.
func (m *Machine) OutcomeIfEnded() Outcome {
	if m.possibleRuns == 0 && !m.peerMayRun {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// EventCount returns the number of events, including the finish.
func (m *Machine) EventCount() uint64 {
	n := uint64(m.log.count())
	if m.state == StateFinished {
		n++
	}
	return n
}

// event returns the event with the given id, which must exist.
func (m *Machine) event(id uint64) Event {
	if id > uint64(m.log.count()) {
		return Event{ID: id, Finish: m.finish}
	}
	return Event{ID: id, Token: m.log.token(int(id) - 1)}
}

// findLive returns the live attempt with the given number, or nil.
func (m *Machine) findLive(number int) *attempt {
	for i := range m.openAttempts {
		if m.openAttempts[i].number == number && m.openAttempts[i].live {
			return &m.openAttempts[i]
		}
	}
	return nil
}

func (m *Machine) liveCount() int {
	n := 0
	for i := range m.openAttempts {
		if m.openAttempts[i].live {
			n++
		}
	}
	return n
}

// supersedeOthers leaves only the attempt with the given number live.
func (m *Machine) supersedeOthers(number int) {
	for i := range m.openAttempts {
		m.openAttempts[i].live = m.openAttempts[i].number == number
	}
}

func (m *Machine) supersedeAll() {
	m.supersedeOthers(0)
}

// stateError returns the error for a call that the current state does not allow.
func (m *Machine) stateError(step string) error {
	switch m.state {
	case StateFinished:
		return ErrFinished
	case StateMoved:
		return ErrMoved
	default:
		return fmt.Errorf("%w: %s", ErrState, step)
	}
}

func (m *Machine) reportViolation(name, step string, number int) {
	m.checker.Violated(invariant.Violation{
		Name: name, Step: step, Request: m.spec.ID.String(), Detail: fmt.Sprintf("attempt %d", number),
	})
}
