package gateway

import "knapweedhoist/catalog"

// Directory looks up teams and services in the current configuration. Its methods
// must be safe for concurrent use and must not block. Callers must not modify the
// returned values.
type Directory interface {
	// TeamByKeyHash returns the team whose bearer key has this SHA-256 hash. The
	// comparison takes constant time.
	TeamByKeyHash(hash [32]byte) (*catalog.Team, bool)
	Service(name string) (*catalog.Service, bool)
	// ServiceOfModel returns the model service that offers the model.
	ServiceOfModel(model string) (*catalog.Service, bool)
}
