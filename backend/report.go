package backend

import (
	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// Report describes how an attempt ended.
type Report struct {
	Result request.AttemptResult
	// Usage is set when a model engine completed the answer.
	Usage *engine.Usage
	// Status is the HTTP status of a plain service's answer; 0 without one.
	Status int
}
