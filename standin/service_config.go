package standin

import "time"

// ServiceConfig configures a Service. Zero fields take their defaults.
type ServiceConfig struct {
	// Clock is the time source; default WallClock.
	Clock Clock
	// ServiceTime is the execution time of a call. Default 5 ms; negative means none.
	ServiceTime time.Duration
	// Workers is the maximum number of concurrent calls, Queue that of waiting calls. Default 16 and 256.
	Workers int
	Queue   int
	// LoadLag is the age of load reports. Default 1 s.
	LoadLag time.Duration
	// Deduplicates makes the service execute a call with an unsafe method only once per Idempotency-Key.
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
