package standin

import (
	"time"

	"knapweedhoist/cloud"
)

// CloudConfig configures a Cloud. Launch, Leaving and Ended are called under the
// lock of the Cloud, so they must not call the Cloud.
type CloudConfig struct {
	// Clock is the time source; default WallClock.
	Clock Clock
	// Offers lists the kinds of instances that can be started.
	Offers []cloud.Offer
	// Capacity is the maximum number of instances of each offer; 0 means no bound.
	Capacity int
	// StartTime is the time from a start to StateRunning. Default 1 s; negative means none.
	StartTime time.Duration
	// Notice is the time from a reclaim notice to the end of an instance. Default 5 s.
	Notice time.Duration
	// ChecksFence rejects orders whose fencing token is lower than the highest one received, except a start
	// with an operation id that was already used.
	ChecksFence bool
	// Launch starts the process on a new instance and returns its address; an
	// error refuses the start.
	Launch func(instance cloud.Instance) (address string, err error)
	// Leaving is called for each reclaim notice, including one that FaultGap leaves unpublished.
	Leaving func(instance cloud.Instance, notice time.Duration)
	// Ended is called for each instance that a stop order ends.
	Ended func(instance cloud.Instance)
}

func (c CloudConfig) withDefaults() CloudConfig {
	c.Clock = orWallClock(c.Clock)
	if c.StartTime == 0 {
		c.StartTime = time.Second
	}
	c.Notice = orDefault(c.Notice, 5*time.Second)
	if c.Launch == nil {
		c.Launch = func(cloud.Instance) (string, error) { return "", nil }
	}
	if c.Leaving == nil {
		c.Leaving = func(cloud.Instance, time.Duration) {}
	}
	if c.Ended == nil {
		c.Ended = func(cloud.Instance) {}
	}
	return c
}
