package standin

import "time"

// ServiceConfig describes a plain service. A zero field takes the default.
type ServiceConfig struct {
	// Clock is the time; default WallClock.
	Clock Clock
	// ServiceTime is the time that a call takes to run. Default 5 ms; negative means none.
	ServiceTime time.Duration
	// Workers bounds the calls that run at once, Queue those that wait. Default 16 and 256.
	Workers int
	Queue   int
	// LoadLag is the age of load reports. Default 1 s.
	LoadLag time.Duration
	// Deduplicates runs a non-idempotent call only once per Idempotency-Key.
	Deduplicates bool
}

func (c ServiceConfig) withDefaults() ServiceConfig {
	c.Clock = orWallClock(c.Clock)
	if c.ServiceTime == 0 {
		c.ServiceTime = 5 * time.Millisecond
	}
	c.Workers = orDefault(c.Workers, 16)
	c.Queue = orDefault(c.Queue, 256)
	c.LoadLag = orDefault(c.LoadLag, time.Second)
	return c
}
