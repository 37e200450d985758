package gateway

import "knapweedhoist/catalog"

// Directory looks up the configuration in force. Its methods are called by
// many goroutines, do not block, and return values that must not be modified.
type Directory interface {
	// TeamByKeyHash returns the team with this SHA-256 hash of a bearer key.
	// The comparison takes constant time.
	TeamByKeyHash(hash [32]byte) (*catalog.Team, bool)
	Service(name string) (*catalog.Service, bool)
	// ServiceOfModel returns the model service that offers the model.
	ServiceOfModel(model string) (*catalog.Service, bool)
}
