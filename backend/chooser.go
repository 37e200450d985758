package backend

import (
	"errors"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
)

// ErrNoEndpoint means that no endpoint can take the work at the moment.
var ErrNoEndpoint = errors.New("backend: no endpoint available")

// Chooser chooses endpoints. Implementations are safe for concurrent use and
// do not block.
type Chooser interface {
	// Choose returns an endpoint that is not leaving, or ErrNoEndpoint.
	Choose(now time.Time, query Query) (Choice, error)
}

// Query describes the work for which an endpoint is wanted.
type Query struct {
	RequestID string
	Team      string
	Service   string
	Kind      catalog.ServiceKind
	// Completion is the model work, nil for a plain service. It must not be modified.
	Completion   *engine.Request
	PromptTokens int
	// GeneratedTokens are the tokens that earlier attempts generated.
	GeneratedTokens int
	Deadline        time.Time
	// Attempt numbers the attempt, from 1.
	Attempt int
	// Hedge: the attempt runs beside another one.
	Hedge bool
	// Avoid are endpoints at which the request failed; they are chosen only when there is no other.
	Avoid []string
}

// Choice is the endpoint of one attempt.
type Choice struct {
	// Endpoint is the endpoint's id.
	Endpoint string
	// Address is the IP address and port of a plain endpoint.
	Address string
	// Engine is the client of a model endpoint.
	Engine   engine.Engine
	Priority engine.Priority
	// Feedback is told how the attempt goes. It is called by one goroutine at a time.
	Feedback Feedback
}

// Feedback tells the policy how an attempt goes. Implementations do not block.
type Feedback interface {
	// Sent: the first byte is about to go to the endpoint.
	Sent(now time.Time)
	FirstToken(now time.Time)
	// Token is called for each token after the first one.
	Token(now time.Time)
	// Finished is the last call; it is made once also when nothing was sent.
	Finished(now time.Time, report Report)
}
