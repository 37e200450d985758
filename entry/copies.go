package entry

import (
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectrelay"
	"knapweedhoist/objectwatch"
)

const (
	// relayWait is how long one watch of another instance's copy waits for a change. It limits the reads of an unchanged
	// copy to two a second, and an instance that does not answer is detected within relayWait + relayMargin.
	relayWait   = 500 * time.Millisecond
	relayMargin = 300 * time.Millisecond
	// relayBackoff is how long an instance that did not answer is not asked again.
	relayBackoff = 3 * time.Second
	// copyMargin is added to the length of two watches of the store in the maximum age of a copy that other instances
	// read. It allows for a slow call.
	copyMargin = 150 * time.Millisecond
)

// newCopies returns a copy for each kind of object that the instance watches. Each copy passes its changes to the sink
// of that kind.
func (i *Instance) newCopies() map[objectapi.Kind]*objectrelay.Copy {
	copies := make(map[objectapi.Kind]*objectrelay.Copy)
	for kind, sink := range map[objectapi.Kind]objectwatch.Sink{
		objectapi.KindDeployment: i.config, objectapi.KindEndpoint: i.endpoints,
	} {
		copies[kind] = objectrelay.NewCopy(objectrelay.CopyConfig{
			Kind: kind, MaxAge: 2*i.settings.sharedWatchWait() + copyMargin, Now: clock.Now,
		}, sink)
	}
	return copies
}

// readRoute returns where this instance reads the objects of the store: from relays, or from the store.
func (i *Instance) readRoute() objectrelay.Route {
	addresses, isRelay := i.directory.Relays(clock.Now(), i.reportTimeout(), i.settings.DataCentre)
	return objectrelay.Route{Relays: addresses, IsRelay: isRelay}
}
