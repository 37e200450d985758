package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/dispatch"
)

// Dialect translates the header fields of a platform. It is safe for concurrent use.
type Dialect interface {
	// DecodeRequest reads what a caller says of its request.
	DecodeRequest(*fasthttp.RequestHeader) Request
	// EncodeAttempt writes the header for an endpoint: the caller's without the fields that are the system's to set.
	EncodeAttempt(to, caller *fasthttp.RequestHeader, attempt Attempt)
	// DecodeReply reads what an endpoint says of its answer.
	DecodeReply(*fasthttp.ResponseHeader) Reply
	// EncodeReply writes the header for the caller: the endpoint's without the fields of one connection.
	EncodeReply(to, endpoint *fasthttp.ResponseHeader)
	// EncodeOwn marks an answer of this instance as the one to a request.
	EncodeOwn(to *fasthttp.ResponseHeader, requestID string)
}

// Request is what a caller says of a request.
type Request struct {
	ID string
	// Key is the API key, "" without one.
	Key string
	// Patience is how long the caller waits; 0 when it does not say.
	Patience time.Duration
	// Prompt lists the parts of the prompt, PromptTokens is their sum.
	Prompt       []dispatch.Part
	PromptTokens int
	// OutputTokens is the most that the answer may have.
	OutputTokens int
}

// Attempt is what the system tells the endpoint of one send.
type Attempt struct {
	// EndpointID is the only endpoint that may run the request.
	EndpointID string
	// Team is the caller's, "" on public routes.
	Team string
	// Remaining is the time until nobody waits for the answer any more.
	Remaining time.Duration
	// LastEvent is the id of the last event that the caller has, "" to keep what the caller sent.
	LastEvent string
	// Priority is the request's rank among the requests of an engine, 0 the highest; -1 is not sent.
	Priority int
}

// Reply is what an endpoint says of its answer.
type Reply struct {
	RequestID string
	// Signed answers carry the endpoint's signature.
	Signed bool
	// NotRun: the endpoint states that it did not run the request.
	NotRun bool
	// Encoded bodies are not the endpoint's own bytes.
	Encoded bool
	// Load is nil when the endpoint does not tell.
	Load *dispatch.Load
}
