package routing

import "errors"

// Sentinel errors of Choose.
var (
	// ErrNoEndpoint means that all listed endpoints of the service and model are leaving, or are avoided by the work.
	ErrNoEndpoint = errors.New("routing: no live endpoint")
	// ErrUnknownService means that no endpoint of the service and model is listed.
	ErrUnknownService = errors.New("routing: unknown service or model")
)
