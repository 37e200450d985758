package gateway

// answerMetadata holds the fields of a model's answer that do not depend on its
// events. Every chunk of a streamed answer repeats them.
type answerMetadata struct {
	// id is the id of the request.
	id string
	// model is "" for a plain service, and if the request is registered only on another instance.
	model string
	// created is the time, in seconds since the Unix epoch, at which the request was received, or
	// at which the caller re-attached if the request is registered only on another instance.
	created int64
}
