package backend

import (
	"errors"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
)

// ErrNoEndpoint means that no endpoint can accept the work at the moment.
var ErrNoEndpoint = errors.New("backend: no endpoint available")

// Chooser selects the endpoint of each attempt. Implementations are safe for concurrent use and do not block.
type Chooser interface {
	// Choose returns an endpoint that is not leaving, or ErrNoEndpoint.
	Choose(now time.Time, query Query) (Choice, error)
}

// Query describes the work for which a Chooser selects an endpoint.
type Query struct {
	RequestID string
	Team      string
	Service   string
	Kind      catalog.ServiceKind
	// Completion is the request to the model; nil for a plain service. It must not be modified.
	Completion   *engine.Request
	PromptTokens int
	// GeneratedTokens is the number of tokens that earlier attempts generated.
	GeneratedTokens int
	Deadline        time.Time
	// Attempt numbers the attempt, from 1.
	Attempt int
	// Hedge is set if the attempt is a hedge of a running one.
	Hedge bool
	// Avoid lists endpoints at which attempts of the request failed or from which its work moved, oldest first, and last,
	// for a hedge, the endpoint of the running attempt. A Chooser returns an endpoint of the list only if no other
	// endpoint can accept the work.
	Avoid []string
}

// Choice is the endpoint that a Chooser selected for one attempt.
type Choice struct {
	// Endpoint is the endpoint's id.
	Endpoint string
	// Address is the IP address and port of an endpoint of a plain service.
	Address string
	// Engine is the client of a model endpoint.
	Engine   engine.Engine
	Priority engine.Priority
	// Feedback receives the events of the attempt. It is called by one goroutine at a time.
	Feedback Feedback
}

// Feedback reports the events of an attempt to the routing policy. Implementations do not block.
type Feedback interface {
	// Sent is called just before the first byte is sent to the endpoint.
	Sent(now time.Time)
	// FirstToken is called for the first token of the attempt.
	FirstToken(now time.Time)
	// Token is called for each token after the first one.
	Token(now time.Time)
	// Finished is the last call. It is made exactly once, even if nothing was sent.
	Finished(now time.Time, report Report)
}
