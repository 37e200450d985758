package entry

import (
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectrelay"
	"knapweedhoist/objectwatch"
)

const (
	// relayWait is how long one read of another instance's copy waits for a change: reads of an idle copy stay at two a
	// second, and an instance that does not answer is noticed within relayWait + relayMargin.
	relayWait   = 500 * time.Millisecond
	relayMargin = 300 * time.Millisecond
	// relayPause is how long an instance that did not answer is left out.
	relayPause = 3 * time.Second
	// copyMargin is how much older than two watches of the store a copy may be that others read: the answer of a slow
	// call.
	copyMargin = 150 * time.Millisecond
)

// newCopies returns a copy of each kind in front of the part that uses it.
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

// relays returns where this instance reads the store's objects.
func (i *Instance) relays() objectrelay.Route {
	addresses, read := i.directory.Relays(clock.Now(), i.silence(), i.settings.DataCentre)
	return objectrelay.Route{Relays: addresses, Read: read}
}
