package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedhoist/clock"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/quarantine"
)

// reportedRateLimits is the number of rate limits of endpoints in the reports of an instance that does not aggregate: those that
// it was told itself or learned of last.
const reportedRateLimits = 64

// ownRateLimits returns what this instance knows of the rate limits of endpoints, for its reports.
func (i *Instance) ownRateLimits(now time.Time) endpointlimit.Records {
	n := reportedRateLimits
	if i.fleet.IsAggregator(now) {
		n = endpointlimit.MaxRecords
	}
	return i.balancer.Limits().Records(time.Now(), n)
}

// shareRateLimits sets the part of the limits that belongs to this instance.
func (i *Instance) shareRateLimits() {
	share := endpointlimit.Share{Instances: i.fleet.Total(clock.Now()), Rank: i.fleet.Rank(), FleetTime: i.wallNow()}
	if !i.joined.Load() {
		share.Instances = endpointlimit.AssumedInstances // the other instances are not known yet
	}
	i.balancer.Limits().SetShare(time.Now(), share)
}

// updateRateLimits takes over what the other instances know, and the part of the limits that belongs to this instance.
func (i *Instance) updateRateLimits(known endpointlimit.Records) {
	limits := i.balancer.Limits()
	i.shareRateLimits()
	metrics.GetOrRegisterGauge("limited_endpoints", i.registry).Update(int64(limits.InForce()))
	for _, change := range limits.Merge(time.Now(), known) {
		message := "rate limit of endpoint stated"
		if change.Ended {
			message = "rate limit of endpoint ended"
		}
		i.lg.Info(message, "endpoint", i.processID(change.Process), "per_second", change.PerSecond, "source", "instances")
	}
}

// processID returns the ID of the listed endpoint with the key of a process, or "".
func (i *Instance) processID(process uint64) string {
	for id, endpoint := range i.state.View().Endpoints {
		if quarantine.ProcessKey(id, endpoint.StartedAtMs) == process {
			return id
		}
	}
	return ""
}

// sweepRateLimits removes the limits of endpoints that are gone.
func (i *Instance) sweepRateLimits() {
	i.balancer.Limits().Sweep(time.Now(), func(process uint64) bool { return i.processID(process) != "" })
}
