// Package request holds the lifecycle of requests: attempts, numbered events,
// send marker, outcome, and the registry of requests that callers re-attach to.
package request

import (
	"fmt"
	"slices"
	"time"

	"knapweedhoist/invariant"
)

// Names of the invariants that this package asserts.
const (
	InvariantGap           = "request/event_gap"
	InvariantRepeat        = "request/event_repeat"
	InvariantNotRun        = "request/not_run_after_send"
	InvariantSentTwice     = "request/sent_twice"
	InvariantNotClaimed    = "request/sent_without_claim"
	InvariantAfterFinish   = "request/after_finish"
	InvariantSentElsewhere = "request/sent_after_move"
)

// Machine is the lifecycle of one request. It is not safe for concurrent use;
// Entry guards it.
type Machine struct {
	spec  Spec
	check invariant.Checker

	state   State
	claimed bool
	// last is the number of the last attempt; numbers continue after a handover.
	last int
	// open are the attempts that have not ended. Two of them are live only during a hedge.
	open []attempt
	// sends counts attempts that were sent and are not proved to have been refused.
	sends int
	// everSent: a byte may have reached an endpoint, also when it was refused.
	everSent bool
	// refused: an endpoint got a request and refused it.
	refused bool
	log     tokenLog
	late    int
	// elsewhere: a peer that holds a copy may run the request, so that nothing proves that it did not run.
	elsewhere bool
	finish    *Finish
	finished  time.Time
}

// NewMachine returns the lifecycle of a received request.
func NewMachine(spec Spec, check invariant.Checker) *Machine {
	return &Machine{spec: spec, check: check, state: StateReceived}
}

// Admit accepts the request.
func (m *Machine) Admit() error {
	if m.state != StateReceived {
		return m.refuseState("admit")
	}
	m.state = StateAdmitted
	return nil
}

// Claimed tells that the claim of the request's key is durable.
func (m *Machine) Claimed() error {
	if m.state != StateAdmitted {
		return m.refuseState("claim")
	}
	m.claimed = true
	return nil
}

// Begin starts an attempt that replaces all live ones and returns its number.
func (m *Machine) Begin() (int, error) {
	if m.state != StateAdmitted {
		return 0, m.refuseState("begin")
	}
	m.supersedeAll()
	return m.add(), nil
}

// BeginHedge starts an attempt beside the live one. The first token decides
// between them. Only work without tokens of a live attempt may be hedged.
func (m *Machine) BeginHedge() (int, error) {
	if m.state != StateAdmitted || m.liveCount() != 1 {
		return 0, m.refuseState("hedge")
	}
	if !m.spec.Repeatable() {
		return 0, ErrSentOnce
	}
	return m.add(), nil
}

func (m *Machine) add() int {
	m.last++
	m.open = append(m.open, attempt{number: m.last, live: true})
	return m.last
}

// MarkSent sets the send marker. It must succeed before the first byte of the
// attempt goes to an endpoint.
func (m *Machine) MarkSent(number int) error {
	if err := m.maySend(number); err != nil {
		return err
	}
	m.find(number).sent = true
	m.everSent = true
	m.sends++
	return nil
}

func (m *Machine) maySend(number int) error {
	live := m.find(number)
	switch {
	case live == nil:
		return m.refusal()
	case m.state == StateMoved:
		m.violated(InvariantSentElsewhere, "send", number)
		return ErrMoved
	case m.state == StateFinished:
		m.violated(InvariantAfterFinish, "send", number)
		return ErrFinished
	case m.spec.NeedsClaim && !m.claimed:
		m.violated(InvariantNotClaimed, "send", number)
		return ErrNotClaimed
	case live.sent, m.everSent && !m.spec.Repeatable():
		m.violated(InvariantSentTwice, "send", number)
		return ErrSentOnce
	}
	return nil
}

// refusal is the error for attempts that are no longer live. It is no violation:
// a finish or a move may happen while an attempt is about to start.
func (m *Machine) refusal() error {
	switch m.state {
	case StateFinished:
		return ErrFinished
	case StateMoved:
		return ErrMoved
	default:
		return ErrSuperseded
	}
}

// Token adds a generated token at position index of the whole answer. Events
// of attempts that are no longer live are dropped and counted, with an error.
func (m *Machine) Token(number, index int, token string) error {
	if m.find(number) == nil {
		m.late++
		return m.refusal()
	}
	if m.state != StateAdmitted {
		m.violated(InvariantAfterFinish, "token", number)
		return m.refusal()
	}
	if index != m.log.count() {
		m.violated(indexInvariant(index, m.log.count()), "token", number)
		return ErrIndex
	}
	m.keepOnly(number)
	m.log.append(token)
	return nil
}

func indexInvariant(index, next int) string {
	if index < next {
		return InvariantRepeat
	}
	return InvariantGap
}

// End ends an attempt without finishing the request. An attempt that is no
// longer live still tells what it proves about its send.
func (m *Machine) End(number int, result Result) {
	i := slices.IndexFunc(m.open, func(a attempt) bool { return a.number == number })
	if i < 0 {
		return
	}
	sent := m.open[i].sent
	m.open = slices.Delete(m.open, i, i+1)
	if sent && (result == ResultUnsent || result == ResultRefused) {
		m.sends--
	}
	if result == ResultUnsent && m.sends == 0 {
		m.everSent = m.refused
	}
	m.refused = m.refused || (sent && result == ResultRefused)
}

// Finish ends the request. An outcome that is not proved is corrected.
func (m *Machine) Finish(now time.Time, finish Finish) error {
	switch m.state {
	case StateFinished:
		return ErrFinished
	case StateMoved:
		return ErrMoved
	}
	if finish.Outcome == OutcomeNotRun && m.sends > 0 {
		m.violated(InvariantNotRun, "finish", m.last)
		finish.Outcome = OutcomeUnknown
	}
	if finish.Outcome == OutcomeNotRun && m.elsewhere {
		finish.Outcome = OutcomeUnknown
	}
	m.state = StateFinished
	m.finish = &finish
	m.finished = now
	m.supersedeAll()
	return nil
}

// MoveUnsent moves the request if no byte of it was sent, else it returns ErrSentOnce.
func (m *Machine) MoveUnsent() error {
	if m.everSent {
		return ErrSentOnce
	}
	return m.Move()
}

// Move gives the request to a peer. Later events of its attempts are dropped.
func (m *Machine) Move() error {
	if m.state != StateAdmitted {
		return m.refuseState("move")
	}
	m.state = StateMoved
	m.supersedeAll()
	return nil
}

// Unfinished returns the outcome that can be reported when the request stops
// now without an answer.
func (m *Machine) Unfinished() Outcome {
	if m.sends == 0 && !m.elsewhere {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// Events returns the number of events, with the finish.
func (m *Machine) Events() uint64 {
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

func (m *Machine) find(number int) *attempt {
	for i := range m.open {
		if m.open[i].number == number && m.open[i].live {
			return &m.open[i]
		}
	}
	return nil
}

func (m *Machine) liveCount() int {
	n := 0
	for i := range m.open {
		if m.open[i].live {
			n++
		}
	}
	return n
}

func (m *Machine) keepOnly(number int) {
	for i := range m.open {
		m.open[i].live = m.open[i].number == number
	}
}

func (m *Machine) supersedeAll() {
	m.keepOnly(0)
}

func (m *Machine) refuseState(step string) error {
	switch m.state {
	case StateFinished:
		return ErrFinished
	case StateMoved:
		return ErrMoved
	default:
		return fmt.Errorf("%w: %s", ErrState, step)
	}
}

func (m *Machine) violated(name, step string, number int) {
	m.check.Violated(invariant.Violation{
		Name: name, Step: step, Request: m.spec.ID.String(), Detail: fmt.Sprintf("attempt %d", number),
	})
}
