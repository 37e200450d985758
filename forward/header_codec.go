package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/dispatch"
	"knapweedhoist/endpointlimit"
)

// HeaderCodec decodes and encodes the header fields of a platform. It must be safe for concurrent use.
type HeaderCodec interface {
	// DecodeRequest decodes the header of a caller's request.
	DecodeRequest(*fasthttp.RequestHeader) Request
	// EncodeAttempt writes the request header for an endpoint: the caller's header with the fields of attempt, and
	// without fields that only the system may set.
	EncodeAttempt(dst, caller *fasthttp.RequestHeader, attempt Attempt)
	// EncodePassedOn writes the request header for another instance: the caller's header without its hop-by-hop fields, and with
	// the time until the deadline of the request.
	EncodePassedOn(dst, caller *fasthttp.RequestHeader, remaining time.Duration)
	// DecodeAnswer decodes the header of an endpoint's answer.
	DecodeAnswer(*fasthttp.ResponseHeader) AnswerHeader
	// EncodeAnswer writes the answer header for the caller: the endpoint's header without its hop-by-hop fields.
	EncodeAnswer(dst, endpoint *fasthttp.ResponseHeader)
	// EncodeLocalAnswer adds the request's ID to an answer that this instance generates.
	EncodeLocalAnswer(dst *fasthttp.ResponseHeader, requestID string)
}

// Request holds the platform's header fields of a caller's request.
type Request struct {
	ID string
	// Key is the API key, "" if there is none.
	Key string
	// Timeout is how long the caller waits for the answer; 0 if the request does not state it.
	Timeout time.Duration
	// Prompt lists the parts of the prompt (see dispatch.Query); PromptTokens is the stated size of the prompt in tokens.
	Prompt       []dispatch.Part
	PromptTokens int
	// OutputTokens is the largest number of tokens that the answer may have.
	OutputTokens int
	// Continues is set if the caller asks to go on with a stream after an event that it has.
	Continues bool
	// Resumes is the ID of the request that brought the first event of that stream, "" if the caller does not name it.
	Resumes string
}

// Attempt holds the header fields that the system sets on one send to an endpoint.
type Attempt struct {
	// EndpointID is the only endpoint that may run the request.
	EndpointID string
	// Team is the name of the caller's team, "" if there is none.
	Team string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// LastEventID is the id of the last event passed on to the caller, "" to keep the field as the caller sent it.
	LastEventID string
	// Priority is the request's rank among the requests of an engine, 0 the highest; a negative value is not sent.
	Priority int
}

// AnswerHeader holds the platform's header fields of an endpoint's answer.
type AnswerHeader struct {
	RequestID string
	// Signed is set if the answer has the endpoint's signature.
	Signed bool
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// Encoded is set if the body has a content encoding, so that its bytes are not those that the endpoint produced.
	Encoded bool
	// Leaving is set if the endpoint states that it leaves.
	Leaving bool
	// RetryAfter is the time within which the endpoint wants no further request, 0 if it states none.
	RetryAfter time.Duration
	// RejectionLimit is the number of requests that the endpoint can reject in a second before it fails, 0 if it states none.
	RejectionLimit float64
	// RateLimit is what the answer says about the rate limit of the endpoint.
	RateLimit endpointlimit.Statement
	// Load is nil if the endpoint does not report its load.
	Load *dispatch.Load
}
