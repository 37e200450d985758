package standin

import "time"

// Defaults of PlatformConfig.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 300
	DefaultHistory         = 4096
)

// PlatformConfig describes an object API.
type PlatformConfig struct {
	// Clock is the time; default WallClock.
	Clock Clock
	// Latency is added to each call.
	Latency time.Duration
	// ReadsPerSecond limits gets, lists and watches; a watch counts once. Default 2000.
	ReadsPerSecond int
	// WritesPerSecond limits puts and deletes, accepted or not. Default 300.
	WritesPerSecond int
	// History is the number of changes that watches can go back. Default 4096.
	History int
}

func (c PlatformConfig) withDefaults() PlatformConfig {
	c.Clock = orWallClock(c.Clock)
	if c.ReadsPerSecond <= 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	if c.WritesPerSecond <= 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.History <= 0 {
		c.History = DefaultHistory
	}
	return c
}
