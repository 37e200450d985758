package operator

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"knapweedhoist/catalog"
)

// Problem is the JSON body of an error response (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Step   string `json:"step"`
	// Next tells the operator how to proceed.
	Next string `json:"next,omitempty"`
	// Conflict is set if the item was changed after the base revision.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict describes the stored change and the refused one. Base is the base revision of the
// refused change, Current the current revision.
type Conflict struct {
	Base    uint64          `json:"base_revision"`
	Current uint64          `json:"current_revision"`
	Theirs  catalog.Change  `json:"theirs"`
	Yours   json.RawMessage `json:"yours,omitempty"`
}

// writeProblem writes a problem as the response and sets its title from the status.
func writeProblem(ctx *fasthttp.RequestCtx, problem Problem) {
	problem.Title = fasthttp.StatusMessage(problem.Status)
	writeJSON(ctx, problem.Status, problem)
	ctx.SetContentType("application/problem+json")
}

// writeJSON writes value as the JSON body of the response.
func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// problemFromError returns the problem for an error of Fleet or Configuration.
func problemFromError(step string, err error) Problem {
	problem := Problem{Step: step, Detail: err.Error()}
	switch {
	case errors.Is(err, ErrNotFound):
		problem.Status, problem.Next = fasthttp.StatusNotFound, "check the name"
	case errors.Is(err, ErrInvalid):
		problem.Status, problem.Next = fasthttp.StatusUnprocessableEntity, "correct the fields named in the detail"
	case errors.Is(err, ErrUnavailable):
		problem.Status = fasthttp.StatusServiceUnavailable
		problem.Next = "send it again with the same operation id; it takes effect at most once"
	default:
		problem.Status, problem.Next = fasthttp.StatusInternalServerError, "look at the instance's log"
	}
	return problem
}

// conflictProblem returns the problem for a change that conflicts with a stored one.
func conflictProblem(step string, change Change, conflict *ConflictError) Problem {
	return Problem{
		Status: fasthttp.StatusConflict, Step: step, Detail: conflict.Error(),
		Next: "read the item again, compare, and send the change with the current base revision",
		Conflict: &Conflict{
			Base: change.BaseRevision, Current: conflict.Current, Theirs: conflict.Theirs, Yours: change.Item,
		},
	}
}
