package capacity

import (
	"time"

	"knapweedhoist/catalog"
)

// Snapshot is the input of a plan: demand, offers and instances at one time.
type Snapshot struct {
	Preset    catalog.Preset
	Services  []Service
	Offers    []Offer
	Instances []Instance
	// Refusals are the recent requests to start an instance that the cloud refused.
	Refusals []Refusal
	// WeightBytesPerSecond is the rate of the weight store for all instances together, loads in progress included.
	WeightBytesPerSecond float64
}

// Service is the demand for one service. The caller chooses the unit of demand and capacity, for example tokens per
// second, and uses the same for services, offers and instances.
type Service struct {
	Name string
	// Peak is the largest demand of the last PeakWindow (see DemandWindow.Peak).
	Peak float64
	// DrainsDisabled forbids drains and replacements. It is set while Peak does not cover a whole PeakWindow yet (see
	// DemandWindow.Full).
	DrainsDisabled bool
	// Models are the models and adapters that the service needs.
	Models []Model
	// PrefillShare is the share of the instances that get the role "prefill", 0 to 1. The others get the role "decode".
	// If one of the two roles would have no instance, all get the role "mixed".
	PrefillShare float64
}

// Model is a model or adapter of a service.
type Model struct {
	Name    string
	Version string
	Adapter bool
	// Bytes is the size to load from the weight store.
	Bytes float64
	// Share is the model's share of the service's demand, 0 to 1.
	Share float64
}

// Offer is a machine class that the cloud can start in a zone.
type Offer struct {
	Zone        string
	Datacentre  string
	Class       string
	Reclaimable bool
	// PricePerHour is the price of one instance, and Units is its capacity.
	PricePerHour float64
	Units        float64
	// ReclaimsPerHour is the observed rate at which the cloud reclaims one instance; 0 for on-demand instances.
	ReclaimsPerHour float64
}

// State is the lifecycle state of an instance.
type State uint8

// States of an instance.
const (
	StateStarting State = iota + 1
	StateReady
	StateDraining
)

// Instance is an instance that the cloud runs for a service, with the state of its engine.
type Instance struct {
	ID      string
	Service string
	Offer   Offer
	State   State
	// Since is when the instance entered State; a plan reads it only in StateDraining. StartedAt is when the cloud started
	// the instance, which is before it is ready.
	Since     time.Time
	StartedAt time.Time
	// Leaving means that the cloud gave a reclaim notice for the instance. A plan does not count its capacity.
	Leaving bool
	// Idle means that no request is running or queued on the instance.
	Idle bool
	// Loaded names the models and adapters that are loaded or being loaded; LoadingBytes is the size of the latter.
	Loaded       []string
	LoadingBytes float64
	// Role is the engine's role: RoleMixed, RolePrefill or RoleDecode.
	Role string
}

// Refusal is a request to start an instance that the cloud refused at the time At.
type Refusal struct {
	Zone        string
	Class       string
	Reclaimable bool
	At          time.Time
}
