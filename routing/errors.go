package routing

import "errors"

// Sentinel errors of Choose.
var (
	// ErrNoEndpoint: no endpoint of the service and model is live.
	ErrNoEndpoint = errors.New("routing: no live endpoint")
	// ErrUnknownService: the list holds no endpoint of the service or model at all.
	ErrUnknownService = errors.New("routing: unknown service or model")
)
