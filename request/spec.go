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
	// Idempotent is set when the call to a plain service may be repeated. Requests to models may always be repeated,
	// because they can be resumed.
	Idempotent bool
	// NeedsClaim is set when the request must hold a claim of Key before its first byte is sent.
	NeedsClaim bool
	// Key is the value of the Idempotency-Key header field, "" without one.
	Key string
	// CallHash identifies the call's method, path, query and body for claims of Key.
	CallHash [16]byte
	// Stream is set when the caller asked for server-sent events.
	Stream bool
	// Completion is the request to a model service, without attempt and resume state; nil for a plain service.
	Completion *engine.Request
	// Call is the call to a plain service; nil for a model service.
	Call *Call
	// PromptTokens is the estimated length of the prompt in tokens, for policies.
	PromptTokens int
	Received     time.Time
	Deadline     time.Time
}

// Repeatable reports whether the request may be sent more than once.
func (s *Spec) Repeatable() bool {
	return s.Kind == catalog.KindModel || s.Idempotent
}

// bodySize returns the memory that the request's body takes, in bytes.
func (s *Spec) bodySize() int {
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
