package routing

import "time"

// Choice is the chosen endpoint for one attempt, with the predictions for it.
type Choice struct {
	// Endpoint is the chosen endpoint; it points into the immutable list.
	Endpoint *Endpoint
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
	// TotalTime is the predicted time to the last token.
	TotalTime time.Duration
	// CachedTokens are the prompt tokens expected in the endpoint's cache, scaled by Config.AffinityWeight.
	CachedTokens int

	state *endpointState
	stats *groupStats
	// uncorrected is TimeToFirstToken without groupStats.longCorrection.
	uncorrected time.Duration
}
