// Package control combines the state machines of one entry instance in a single
// one: membership, claim shards, leases, configuration and the division of quotas.
// A Core processes typed events and returns typed effects. It has no sockets and
// no clock, so that the daemon (package knapweedhoist) and tests with a simulated
// clock (package soak) run the same code.
//
// One goroutine owns a Core. Other goroutines only read its Views, which are
// immutable.
package control

import (
	"log/slog"
	"math/rand"

	"knapweedhoist/claim"
	"knapweedhoist/invariant"
	"knapweedhoist/membership"
	"knapweedhoist/timeline"
)

// Config holds the parameters of the Core of one entry instance.
type Config struct {
	// Member holds the instance's identity and addresses.
	Member membership.Config
	// Shards is the number of claim shards. Default claim.DefaultShards.
	Shards int
	// Rand is the source of the jitter of backoffs and of the intervals between reads of the configuration.
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
