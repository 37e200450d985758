package request

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
)

// Spec is the immutable part of a request.
type Spec struct {
	ID      ID
	Team    string
	Service string
	Kind    catalog.ServiceKind
	// Idempotent: the call may be repeated. Model work is always resumable.
	Idempotent bool
	// NeedsClaim: the call must hold a claim of Key before its first byte is sent.
	NeedsClaim bool
	// Key is the Idempotency-Key, "" without one.
	Key string
	// BodyHash identifies the call's method, path and body for claims of Key.
	BodyHash [16]byte
	// Stream: the caller asked for server-sent events.
	Stream bool
	// Completion is the work of a model service, without attempt and resume state.
	Completion *engine.Request
	// Call is the work of a plain service.
	Call *Call
	// PromptTokens is an estimate, for policies.
	PromptTokens int
	Received     time.Time
	Deadline     time.Time
}

// Repeatable reports whether the work may be sent more than once.
func (s *Spec) Repeatable() bool {
	return s.Kind == catalog.KindModel || s.Idempotent
}

// size is the memory held by the request's body, in bytes.
func (s *Spec) size() int {
	n := 0
	if s.Completion != nil {
		for _, message := range s.Completion.Messages {
			n += len(message.Content)
		}
	}
	if s.Call != nil {
		n += len(s.Call.Body)
	}
	return n
}
