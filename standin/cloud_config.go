package standin

import (
	"time"

	"knapweedhoist/cloud"
)

// CloudConfig describes a cloud API.
type CloudConfig struct {
	// Clock is the time; default WallClock.
	Clock Clock
	// Offers are the kinds of instances that can be started.
	Offers []cloud.Offer
	// Capacity bounds the instances of each offer; 0 means no bound.
	Capacity int
	// StartTime is the time until a started instance runs. Default 1 s; negative means none.
	StartTime time.Duration
	// Notice is the time from a reclaim notice to the end of an instance. Default 5 s.
	Notice time.Duration
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// Launch starts what runs on a new instance and returns its address; an
	// error refuses the start. It must not call the cloud.
	Launch func(instance cloud.Instance) (address string, err error)
	// Leaving is told of each reclaim notice, also of one that is not published.
	Leaving func(instance cloud.Instance, notice time.Duration)
	// Ended is told of each instance that is stopped by an order.
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
