package teamlimit

import "time"

// Config holds the parameters of a Limiter. Overage and Slack bound the use of
// teams beyond their limits. They cover requests that instances admit before they
// know each other's use; a part of each is added to the buckets of the teams.
type Config struct {
	// Overage is the use allowed beyond the limit in any window, as a fraction of the limit.
	Overage float64
	// Slack is the further use allowed in any window, in the limit's unit.
	Slack float64
	// NewDeployment means that all instances start for the first time, so that buckets start full.
	NewDeployment bool
	// Phase, from 0 to 1, is where the series of admitted and refused requests of a team over its limit begins. It should
	// differ between instances, so that they do not all admit and refuse at the same time.
	Phase float64
}

const (
	// overageFraction is the fraction of Config.Overage that is added to the refill rate of the buckets.
	overageFraction = 0.3
	// slackFraction is the fraction of Config.Slack that is added to the capacity of a bucket, less the use of the limit
	// during concurrentUseTime: that use can be exceeded before the instances know of each other's.
	slackFraction     = 0.5
	concurrentUseTime = 200 * time.Millisecond
	// correctionDelays is the number of Connectivity.Delay within which the admitted part of the requests is set to use up a
	// level above zero, or to repay one below it. A shorter time would let the level oscillate.
	correctionDelays = 2
	// minCorrectionTime is the shortest such time.
	minCorrectionTime = 20 * time.Millisecond
	// demandTime is the time constant of the average of the demand.
	demandTime = 300 * time.Millisecond
	// catchUpTime is how long a Limiter that does not know the earlier use takes over the levels of other instances.
	catchUpTime = 2 * time.Second
	// silenceTime is how long the use of other instances is unknown before they count as disconnected.
	silenceTime = 600 * time.Millisecond
	// initialCreditTime times the rate of a limit is the largest credit that an instance begins with, see Config.Phase.
	initialCreditTime = 20 * time.Millisecond
	// refundLifetime is how long a refund can be used for another request before the other instances' count of the
	// refunded use stands.
	refundLifetime = time.Second
	// minAdmitted bounds the admitted part that the wait of a refused request is computed from.
	minAdmitted = 0.05
	// maxWait bounds the wait of a refused request.
	maxWait = time.Minute
)
