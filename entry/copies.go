package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedhoist/clock"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectrelay"
	"knapweedhoist/objectwatch"
)

const (
	// maxRelayWait is the longest time that one watch of a relay's copy waits for a change. It limits each reader to two
	// reads a second of a copy that does not change.
	maxRelayWait = 500 * time.Millisecond
	// maxRelayMargin is the longest time that is added to that wait in the timeout of a read from a relay. A relay that does
	// not answer is detected within that timeout.
	maxRelayMargin = 300 * time.Millisecond
	// relayBackoff is how long a relay is not asked again after a failed read.
	relayBackoff = 3 * time.Second
	// copyMargin is added to the waits of two watches of the store to give MaxAge, the age above which a copy refuses
	// reads. It allows for slow calls of the store.
	copyMargin = 150 * time.Millisecond
)

// newCopies returns a copy for each kind of object that the instance watches. Each copy passes its changes to the sink
// of that kind.
func (i *Instance) newCopies() map[objectapi.Kind]*objectrelay.Copy {
	copies := make(map[objectapi.Kind]*objectrelay.Copy)
	for kind, sink := range map[objectapi.Kind]objectwatch.Sink{
		objectapi.KindDeployment: i.configSink, objectapi.KindEndpoint: i.endpointSink,
	} {
		copies[kind] = objectrelay.NewCopy(objectrelay.CopyConfig{
			Kind: kind, MaxAge: 2*i.settings.sharedWatchWait() + i.settings.sharedWatchGap() + copyMargin, Now: clock.Now,
			MaxHistoryBytes: i.settings.maxHistoryBytes(), IsShared: func() bool { return i.readRoute().IsRelay },
		}, sink)
	}
	_ = metrics.NewRegisteredFunctionalGauge("objects_history_bytes", i.registry, func() int64 {
		total := int64(0)
		for _, objectCopy := range copies {
			total += objectCopy.HistoryBytes()
		}
		return total
	})
	return copies
}

// readRoute returns where this instance reads the objects of the store: from relays, or from the store, or from other
// instances while neither answers.
func (i *Instance) readRoute() objectrelay.Route {
	now := clock.Now()
	addresses, isRelay := i.fleet.Relays(now)
	return objectrelay.Route{
		Relays: addresses, IsRelay: isRelay, Substitutes: i.freshPeers.addresses(now, i.settings.absenceLimit()),
	}
}
