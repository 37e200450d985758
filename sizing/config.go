package sizing

import (
	"time"

	"knapweedhoist/internal/defaults"
)

// Config has the shares and times of a Planner. The zero value stands for the defaults.
type Config struct {
	// PrefillRate is the number of prompt tokens that one engine reads in a second when it does nothing else.
	// Default 110,000, the slower engine of the two first deployments.
	PrefillRate float64
	// UsualLoad is the part of that rate that all engines together are sized for. Default 0.35: prompts that meet at
	// one engine delay each other's first tokens, and engines that are ordered come seconds later.
	UsualLoad float64
	// LeastLoad is the same for the engines that are kept on demand whatever reclaimable ones there are. Default 1.8:
	// they carry the most urgent work until those that are ordered at a reclaim have started.
	LeastLoad float64
	// ReducedLoad is the load up to which missing reclaimable engines are not replaced on demand. Default 0.75.
	ReducedLoad float64
	// WaveTime is how long after a reclaim others are expected. Default 12 s: reclaims come in waves.
	WaveTime time.Duration
	// WaveShare is the part of the reclaimable engines that is counted on during that time. Default 0.4.
	WaveShare float64
	// ShrinkAfter is how long a smaller number must suffice before endpoints are given up. Default 6 s: longer than
	// an endpoint takes to start.
	ShrinkAfter time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.PrefillRate, 110_000)
	defaults.Set(&c.UsualLoad, 0.35)
	defaults.Set(&c.LeastLoad, 1.8)
	defaults.Set(&c.ReducedLoad, 0.75)
	defaults.Set(&c.WaveTime, 12*time.Second)
	defaults.Set(&c.WaveShare, 0.4)
	defaults.Set(&c.ShrinkAfter, 6*time.Second)
	return c
}
