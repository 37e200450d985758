package request

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/wire"
)

// payload is the body of a copied request in its JSON form.
type payload struct {
	Completion *engine.Request `json:"completion,omitempty"`
	Call       *Call           `json:"call,omitempty"`
}

// Copy returns the request's state as a message for a peer, and the number of
// events in it. The copy is marked as sent unless sendable is set, because this
// instance may still send the request after the copy and the peer would not
// learn of it. A sendable copy is only for a request that moved before it was
// sent; for any other request the error wraps ErrState.
func (e *Entry) Copy(now time.Time, sendable bool) (*wire.RequestState, uint64, error) {
	body, err := json.Marshal(payload{Completion: e.spec.Completion, Call: e.spec.Call})
	if err != nil {
		return nil, 0, oops.With("step", "copy").Wrap(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.machine
	if sendable && (m.state != StateMoved || m.everSent) {
		return nil, 0, oops.With("step", "copy").Wrap(ErrState)
	}
	state := &wire.RequestState{
		Id: e.spec.ID.String(), Team: e.spec.Team, Service: e.spec.Service, Kind: string(e.spec.Kind),
		Idempotent: e.spec.Idempotent, Sent: !sendable, Attempt: int32(m.lastAttempt),
		Body: body, Tokens: m.log.tokens(0), DeadlineMs: e.spec.Deadline.Sub(now).Milliseconds(),
		Key: e.spec.Key, Stream: e.spec.Stream, NeedsClaim: e.spec.NeedsClaim, BodyHash: e.spec.CallHash[:],
	}
	if m.finish != nil {
		state.Finished = true
		state.FinishReason = m.finish.FinishReason
		state.Finish = finishMessage(m.EventCount(), m.finish)
	}
	return state, m.EventCount(), nil
}

// EventsAfter returns the events after the given position as a message for a
// peer that has the events up to it, and the number of events that the peer has
// once it applied the message.
func (e *Entry) EventsAfter(position uint64) (*wire.HandoverEvents, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.machine
	message := &wire.HandoverEvents{
		Id: e.spec.ID.String(), First: position + 1, Sent: true, Attempt: int32(m.lastAttempt),
	}
	if position < uint64(m.log.count()) {
		message.Tokens = m.log.tokens(int(position))
	}
	if m.finish != nil {
		message.Finished = true
		message.FinishReason = m.finish.FinishReason
		message.Finish = finishMessage(m.EventCount(), m.finish)
	}
	return message, m.EventCount()
}

// Message encodes the event as a message for a peer.
func (e Event) Message() *wire.AttachEvent {
	if e.Finish != nil {
		return finishMessage(e.ID, e.Finish)
	}
	return &wire.AttachEvent{Id: e.ID, Token: string(e.Token)}
}

// EventFromMessage decodes the event in a message from a peer.
func EventFromMessage(message *wire.AttachEvent) Event {
	if !message.GetFinished() {
		return Event{ID: message.GetId(), Token: []byte(message.GetToken())}
	}
	return Event{ID: message.GetId(), Finish: finishFromMessage(message)}
}

func finishMessage(id uint64, finish *Finish) *wire.AttachEvent {
	message := &wire.AttachEvent{
		Id: id, Finished: true, FinishReason: finish.FinishReason, Status: int32(finish.Status),
		Outcome: string(finish.Outcome), Step: finish.Step, Body: finish.Body, ContentType: finish.ContentType(),
		Detail: finish.Detail, RetryAfterMs: finish.RetryAfter.Milliseconds(),
	}
	if finish.Usage != nil {
		message.PromptTokens = uint32(finish.Usage.PromptTokens)
		message.CompletionTokens = uint32(finish.Usage.CompletionTokens)
	}
	return message
}

func finishFromMessage(message *wire.AttachEvent) *Finish {
	finish := &Finish{
		Outcome: Outcome(message.GetOutcome()), FinishReason: message.GetFinishReason(), Status: int(message.GetStatus()),
		Step: message.GetStep(), Body: message.GetBody(), Detail: message.GetDetail(),
		RetryAfter: time.Duration(message.GetRetryAfterMs()) * time.Millisecond,
	}
	if message.GetContentType() != "" {
		finish.Header = []Field{{Name: "Content-Type", Value: message.GetContentType()}}
	}
	if finish.FinishReason != "" {
		finish.Usage = &engine.Usage{
			PromptTokens: int(message.GetPromptTokens()), CompletionTokens: int(message.GetCompletionTokens()),
		}
	}
	return finish
}

// Adopt registers a request from a peer's copy. A finished request stays
// readable for Config.Retention; any other one continues at this instance. It
// is not refused over the limits of Config, since the handover limits the copies
// that it accepts. Errors wrap ErrInvalidID, ErrState for a body that does not fit the
// kind of service, ErrExists, or a JSON error.
func (r *Registry) Adopt(now time.Time, state *wire.RequestState) (*Entry, error) {
	spec, err := specFromMessage(now, state)
	if err != nil {
		return nil, err
	}
	machine := NewMachine(spec, r.checker)
	machine.restore(state)
	entry, err := r.register(now, machine, false)
	if err != nil {
		return nil, err
	}
	if state.GetFinished() {
		return entry, entry.Finish(now, *finishFromMessage(state.GetFinish()))
	}
	return entry, nil
}

func specFromMessage(now time.Time, state *wire.RequestState) (Spec, error) {
	id, err := ParseID(state.GetId())
	if err != nil {
		return Spec{}, err
	}
	var decoded payload
	if err := json.Unmarshal(state.GetBody(), &decoded); err != nil {
		return Spec{}, oops.With("step", "adopt").Wrap(err)
	}
	spec := Spec{
		ID: id, Team: state.GetTeam(), Service: state.GetService(), Kind: catalog.ServiceKind(state.GetKind()),
		Idempotent: state.GetIdempotent(), NeedsClaim: state.GetNeedsClaim(), Key: state.GetKey(),
		Stream: state.GetStream(), Completion: decoded.Completion, Call: decoded.Call,
		Received: now, Deadline: now.Add(time.Duration(state.GetDeadlineMs()) * time.Millisecond),
	}
	copy(spec.CallHash[:], state.GetBodyHash())
	if (spec.Kind == catalog.KindModel) != (spec.Completion != nil) || (spec.Kind == catalog.KindPlain) != (spec.Call != nil) {
		return Spec{}, oops.With("step", "adopt").Wrap(ErrState)
	}
	return spec, nil
}

// restore sets the machine to a copied state: admitted, with the attempt number
// and the tokens of the former owner. If the copy is marked as sent and the request
// has not finished, it counts as a possible run: no result can prove otherwise.
func (m *Machine) restore(state *wire.RequestState) {
	m.state = StateAdmitted
	m.lastAttempt = int(state.GetAttempt())
	for _, token := range state.GetTokens() {
		m.log.append(token)
	}
	if state.GetSent() && !state.GetFinished() {
		m.possibleRuns = 1
		m.everSent = true
	}
}
