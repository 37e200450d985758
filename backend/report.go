package backend

import (
	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// Report is how an attempt ended.
type Report struct {
	Result request.AttemptResult
	// Usage is set when a model answered to the end.
	Usage *engine.Usage
	// Status is the HTTP status of a plain endpoint, 0 without an answer.
	Status int
}
