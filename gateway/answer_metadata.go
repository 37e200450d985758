package gateway

// answerMetadata holds the fields that every chunk of a model's answer repeats.
type answerMetadata struct {
	id string
	// model is "" if the request is registered only on another instance.
	model string
	// created is in seconds since the Unix epoch.
	created int64
}
