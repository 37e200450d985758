package fleetstate

import "time"

// centreState is what this instance knows of another data centre from the summaries of its aggregators.
type centreState struct {
	// aggregators holds the last summary of each aggregator by name.
	aggregators map[string]received[Summary]
	// used and started are the maximum over the summaries of all aggregators.
	used, started Table
	// excluded holds the slots in which the data centre was disconnected, see instanceState.
	excluded slotSet
}

func newCentreState(excluded slotSet) *centreState {
	return &centreState{
		aggregators: make(map[string]received[Summary]), used: make(Table), started: make(Table), excluded: excluded,
	}
}

// best returns the recent summary that covers the most instances, the newest one of several, or false if none is recent.
func (c *centreState) best(now time.Time) (Summary, bool) {
	return bestOf(c.aggregators, now)
}

// live returns the number of live instances, 0 without a recent summary.
func (c *centreState) live(now time.Time) int {
	summary, _ := c.best(now)
	return summary.Live
}

// forgetAggregators removes the aggregators that sent no summary for a while.
func (c *centreState) forgetAggregators(now time.Time) {
	for name, received := range c.aggregators {
		if now.Sub(received.receivedAt) > aggregatorRetention {
			delete(c.aggregators, name)
		}
	}
}

// aggregatorRetention is how long the last summary of an aggregator is kept.
const aggregatorRetention = 10 * time.Second
