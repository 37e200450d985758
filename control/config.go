// Package control joins the decision packages of one entry instance into a
// single state machine. A Core takes typed events and returns typed effects;
// it has no sockets and no clock, so that a daemon and a test under a scripted
// clock run the same code.
package control

import (
	"log/slog"
	"math/rand"

	"knapweedhoist/claim"
	"knapweedhoist/invariant"
	"knapweedhoist/membership"
	"knapweedhoist/timeline"
)

// Config describes one entry instance.
type Config struct {
	// Member identifies the instance and its addresses.
	Member membership.Config
	// Shards is the number of claim shards. Default claim.DefaultShards.
	Shards int
	// Rand spreads back-offs.
	Rand     *rand.Rand
	Logger   *slog.Logger
	Recorder timeline.Recorder
	Checker  invariant.Checker
}

func (c Config) withDefaults() Config {
	if c.Shards == 0 {
		c.Shards = claim.DefaultShards
	}
	return c
}
