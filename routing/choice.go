package routing

import "time"

// Choice is the chosen endpoint for one attempt, with the predictions for it.
type Choice struct {
	// Endpoint is the chosen endpoint; it points into the immutable list.
	Endpoint *Endpoint
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Total is the predicted time to the last token.
	Total time.Duration
	// CachedTokens are the prompt tokens expected in the endpoint's cache.
	CachedTokens int

	state *endpointState
	stats *groupStats
	// uncorrected is FirstToken without groupStats.longCorrection.
	uncorrected time.Duration
}
