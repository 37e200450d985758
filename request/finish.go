package request

import (
	"time"

	"knapweedhoist/engine"
)

// Finish is the end of a request.
type Finish struct {
	Outcome Outcome
	// Reason is the engine's finish reason of a whole answer: "stop" or "length".
	Reason string
	// Usage is set for a whole answer of a model.
	Usage *engine.Usage
	// Status is the HTTP status of a plain answer or of a problem; 0 for a whole answer of a model.
	Status int
	// Step is the step at which a request failed, "" otherwise.
	Step string
	// Detail is a short text for the caller about a failure.
	Detail string
	// RetryAfter is when to try again, 0 when not known.
	RetryAfter time.Duration
	// Header and Body are the answer of a plain service.
	Header []Field
	Body   []byte
}

// Failed reports whether the request ended without an answer from an endpoint.
func (f *Finish) Failed() bool {
	return f.Step != ""
}

// ContentType returns the Content-Type of a plain answer, "" without one.
func (f *Finish) ContentType() string {
	for _, field := range f.Header {
		if field.Name == "Content-Type" {
			return field.Value
		}
	}
	return ""
}
