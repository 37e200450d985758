package knapweedhoist

import (
	"crypto/subtle"
	"encoding/hex"

	"knapweedhoist/catalog"
)

// view is the state that traffic goroutines read. It is immutable; the control
// goroutine publishes a new one for each change.
type view struct {
	document  *catalog.Document
	endpoints []endpoint
}

// endpoint is one endpoint of the fleet.
type endpoint struct {
	id         string
	service    string
	datacentre string
	address    string
	leaving    bool
}

// TeamByKeyHash implements gateway.Directory. It compares with every key, so
// that the time does not depend on which one matches.
func (i *Instance) TeamByKeyHash(hash [32]byte) (*catalog.Team, bool) {
	text := hex.EncodeToString(hash[:])
	document := i.view.Load().document
	var found *catalog.Team
	for t := range document.Teams {
		for _, known := range document.Teams[t].KeyHashes {
			if subtle.ConstantTimeCompare([]byte(text), []byte(known)) == 1 {
				found = &document.Teams[t]
			}
		}
	}
	return found, found != nil
}

// Service implements gateway.Directory.
func (i *Instance) Service(name string) (*catalog.Service, bool) {
	document := i.view.Load().document
	for s := range document.Services {
		if document.Services[s].Name == name {
			return &document.Services[s], true
		}
	}
	return nil, false
}

// ServiceOfModel implements gateway.Directory.
func (i *Instance) ServiceOfModel(model string) (*catalog.Service, bool) {
	document := i.view.Load().document
	for s := range document.Services {
		for _, name := range document.Services[s].Models {
			if name == model {
				return &document.Services[s], true
			}
		}
	}
	return nil, false
}
