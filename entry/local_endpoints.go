package entry

import (
	"sync/atomic"

	"knapweedhoist/deployment"
	"knapweedhoist/fleetstate"
)

// localEndpoints is the set of the endpoints in the data centre of this instance, by fleetstate.EndpointKey. It is safe
// for concurrent use.
type localEndpoints struct {
	dataCentre string
	keys       atomic.Pointer[map[uint32]bool]
}

// set replaces the endpoints.
func (l *localEndpoints) set(endpoints map[string]*deployment.Endpoint) {
	keys := make(map[uint32]bool)
	for id, endpoint := range endpoints {
		if endpoint.DataCentre == l.dataCentre {
			keys[fleetstate.EndpointKey(id)] = true
		}
	}
	l.keys.Store(&keys)
}

// contains reports whether the endpoint with a key is in the data centre.
func (l *localEndpoints) contains(key uint32) bool {
	keys := l.keys.Load()
	return keys != nil && (*keys)[key]
}
