package gateway

// identity is what every part of a model's answer repeats.
type identity struct {
	id string
	// model is "" when the request is known only from another instance.
	model string
	// created is in seconds since the Unix epoch.
	created int64
}
