package knapweedhoist

import (
	"sync/atomic"

	"knapweedhoist/catalog"
	"knapweedhoist/control"
)

// directory implements gateway.Directory on the configuration in force. It
// finds nothing before the first configuration.
type directory struct {
	view *atomic.Pointer[control.View]
}

// TeamByKeyHash implements gateway.Directory.
func (d directory) TeamByKeyHash(hash [32]byte) (*catalog.Team, bool) {
	snapshot := d.view.Load().Catalog
	if snapshot == nil {
		return nil, false
	}
	return snapshot.TeamOfKey(hash)
}

// Service implements gateway.Directory.
func (d directory) Service(name string) (*catalog.Service, bool) {
	snapshot := d.view.Load().Catalog
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Service(name)
}

// ServiceOfModel implements gateway.Directory.
func (d directory) ServiceOfModel(model string) (*catalog.Service, bool) {
	snapshot := d.view.Load().Catalog
	if snapshot == nil {
		return nil, false
	}
	return snapshot.ServiceOfModel(model)
}
