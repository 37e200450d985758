package fleetstate

import "time"

// Status is a Fleet's view of who aggregates, for logs.
type Status struct {
	// Aggregators lists the names of the aggregators of the data centre. Preferred is the one that sends digests to this
	// instance.
	Aggregators []string
	Preferred   string
	// IsAggregator is set if this instance acts as one, Direct if it uses its own sums instead of digests.
	IsAggregator, Direct bool
	// Live is the number of instances that this one is connected to, itself included, out of Total.
	Live, Total int
}

// Status returns the view at the given time.
func (f *Fleet) Status(now time.Time) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := Status{
		Preferred: f.choice.preferred, IsAggregator: f.isAggregator(now), Direct: f.direct(now), Live: f.live(now), Total: f.total(now),
	}
	for _, peer := range f.knownAggregators(now, false) {
		status.Aggregators = append(status.Aggregators, peer.Name)
	}
	return status
}
