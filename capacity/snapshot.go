package capacity

import (
	"time"

	"knapweedhoist/catalog"
)

// Snapshot is everything that a plan depends on.
type Snapshot struct {
	Preset    catalog.Preset
	Services  []Service
	Offers    []Offer
	Instances []Instance
	// Refusals are the recent refusals to start an instance.
	Refusals []Refusal
	// WeightBytesPerSecond is the weight store's rate. Loads that are under way count against it.
	WeightBytesPerSecond float64
}

// Service is the demand for one service. Units are the caller's choice, for
// example tokens per second, as long as offers and instances use the same.
type Service struct {
	Name string
	// Peak is the largest demand of the last PeakWindow, or the forecast if that is larger.
	Peak float64
	// HoldDrains: the peak does not cover a whole PeakWindow yet, so that nothing may be drained (see Forecast.Ready).
	HoldDrains bool
	// Models are the models and adapters that the service needs.
	Models []Model
	// PrefillShare is the part of the instances that get the role "prefill"; 0 gives all the role "mixed".
	PrefillShare float64
}

// Model is one model or adapter and its part of the service's demand.
type Model struct {
	Name    string
	Version string
	Adapter bool
	Bytes   float64
	// Share is the part of the service's demand, 0 to 1.
	Share float64
}

// Offer is a machine class that can be started in a zone.
type Offer struct {
	Zone        string
	Datacentre  string
	Class       string
	Reclaimable bool
	// PricePerHour is for one instance that serves Units.
	PricePerHour float64
	Units        float64
	// ReclaimsPerHour is the observed rate of reclaims of one instance; 0 for on-demand instances.
	ReclaimsPerHour float64
}

// State is the lifecycle of an instance.
type State uint8

// States of an instance.
const (
	StateStarting State = iota + 1
	StateReady
	StateDraining
)

// Instance is one instance of the fleet.
type Instance struct {
	ID      string
	Service string
	Offer   Offer
	State   State
	// Since is when the state began; StartedAt is when the instance was ordered.
	Since     time.Time
	StartedAt time.Time
	// Leaving: a reclaim notice was given; the instance no longer counts.
	Leaving bool
	// Idle: no request is in progress.
	Idle bool
	// Loaded names the models and adapters that are loaded or being loaded; Loading counts the latter's bytes.
	Loaded       []string
	LoadingBytes float64
	Role         string
}

// Refusal is a refused request to start an instance.
type Refusal struct {
	Zone        string
	Class       string
	Reclaimable bool
	At          time.Time
}
