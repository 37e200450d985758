package entry

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedhoist/fleetstate"
	"knapweedhoist/objectapi"
	"knapweedhoist/streamorigin"
)

// objectStore is an object store without a rate limit. Its methods are not safe for concurrent use.
type objectStore struct {
	objects map[string]objectapi.Object
	version objectapi.Version
	// away makes all calls fail, listsAway those that read all objects, writesAway those that change one.
	away, listsAway, writesAway bool
	lists, calls                int
	era                         objectapi.Era
}

// Era implements eraStore.
func (s *objectStore) Era() objectapi.Era { return s.era }

// restore lets the store return from a copy without objects.
func (s *objectStore) restore() {
	s.era++
	s.objects, s.version = make(map[string]objectapi.Object), 0
}

// Do implements objectapi.Store.
func (s *objectStore) Do(_ context.Context, request objectapi.Request) (objectapi.Reply, error) {
	s.calls++
	current := s.objects[request.Name]
	condition := request.Condition
	switch {
	case s.away, s.listsAway && request.Op == objectapi.OpList, s.writesAway && request.Op != objectapi.OpList:
		return objectapi.Reply{}, objectapi.ErrUnavailable
	case request.Op == objectapi.OpList:
		s.lists++
		var reply objectapi.Reply
		for _, object := range s.objects {
			reply.Objects = append(reply.Objects, object)
		}
		slices.SortFunc(reply.Objects, func(a, b objectapi.Object) int { return cmp.Compare(a.Name, b.Name) })
		return reply, nil
	case condition.IfAbsent && current.Version != 0, condition.IfVersion != 0 && condition.IfVersion != current.Version:
		return objectapi.Reply{Object: current}, objectapi.ErrConflict
	case request.Op == objectapi.OpDelete:
		delete(s.objects, request.Name)
		return objectapi.Reply{}, nil
	}
	s.version++
	s.objects[request.Name] = objectapi.Object{Kind: request.Kind, Name: request.Name, Version: s.version, Value: request.Value}
	return objectapi.Reply{Object: s.objects[request.Name]}, nil
}

// originsWorld is a service with endpoints of some versions, a store and instances on a manual clock.
type originsWorld struct {
	now    time.Time
	store  *objectStore
	listed map[streamorigin.Origin]bool
	// listedAt holds the times at which versions were last listed anew.
	listedAt  map[string]time.Time
	instances []*originsMember
	boots     uint64
	// lose decides whether a message is lost.
	lose func() bool
	// detection is how long an instance that is gone or cut off still counts as connected, apartSince the begin of that time.
	detection  time.Duration
	apartSince time.Time
}

// originsMember is one instance. It is nil in originsWorld.instances while it is down.
type originsMember struct {
	origins *origins
	store   *originStore
	// cut is set while the instance reaches neither the store nor other instances.
	cut bool
	// behind is set while the watch of the endpoints does not answer, though the instance reaches the store and the others.
	behind bool
	// clockOffset is by how much the instance's time of day is ahead.
	clockOffset time.Duration
	// told holds the versions that the instance has read or was told of since they were last listed anew.
	told map[string]bool
	// apartAt is the last time at which the instance found that it was not connected to all others.
	apartAt time.Time
	// seen holds the origins that the instance sees.
	seen map[streamorigin.Origin]bool
}

const originsService = "s"

func newOriginsWorld(instances int) *originsWorld {
	w := &originsWorld{
		now: time.Unix(1000, 0), listedAt: make(map[string]time.Time), store: &objectStore{objects: make(map[string]objectapi.Object)}, lose: func() bool { return false },
		instances: make([]*originsMember, instances),
	}
	w.list("v1")
	for n := range instances {
		w.start(n)
	}
	return w
}

// list sets the versions of the service.
func (w *originsWorld) list(versions ...string) {
	former := w.listed
	w.listed = make(map[streamorigin.Origin]bool)
	for _, version := range versions {
		origin := streamorigin.Origin{Service: originsService, Version: version}
		w.listed[origin] = true
		if former[origin] {
			continue
		}
		w.listedAt[version] = w.now
		for _, member := range w.instances {
			if member != nil {
				delete(member.told, version)
			}
		}
	}
}

// start starts an instance that remembers nothing.
func (w *originsWorld) start(n int) {
	w.boots++
	lg, registry, member := slog.New(slog.DiscardHandler), metrics.NewRegistry(), &originsMember{told: make(map[string]bool)}
	member.origins = newOrigins(lg, func() time.Time { return w.now }, 2500*time.Millisecond, 0, registry)
	self := fleetstate.Source{Instance: fmt.Sprintf("i%d", n), Boot: w.boots}
	isCandidate := func() bool {
		first := slices.IndexFunc(w.instances, func(other *originsMember) bool { return other != nil && !other.cut })
		return first >= 0 && w.instances[first] == member
	}
	member.store = newOriginStore(lg, w.store, member.origins, func() time.Time { return w.now.Add(member.clockOffset) }, self, float64(n)/float64(len(w.instances)), func() int { return len(w.instances) }, isCandidate, registry)
	for version := range w.listedAt {
		member.told[version] = true // it has to read the endpoints before it names a version
	}
	w.instances[n] = member
}

// pass lets time pass in steps of originStoreInterval, with a message at every other one.
func (w *originsWorld) pass(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.now = w.now.Add(originStoreInterval)
		for _, member := range w.instances {
			if member != nil && !member.cut {
				w.step(member)
			}
		}
		for _, member := range w.instances {
			if member != nil && w.now.UnixNano()%int64(controlInterval) == 0 {
				w.exchange(member)
			}
		}
	}
}

// step lets an instance read the endpoints and make the call that is due.
func (w *originsWorld) step(member *originsMember) {
	if !w.store.away && !member.behind {
		member.seen = w.listed
		for origin := range w.listed {
			member.told[origin.Version] = true
		}
		member.origins.directory.SetListed(w.now, w.listed)
		member.origins.directory.Confirm(w.now, w.now)
	}
	_ = member.store.sync(context.Background())
}

// exchange sends the messages of an instance.
func (w *originsWorld) exchange(member *originsMember) {
	connected := !slices.ContainsFunc(w.instances, func(other *originsMember) bool { return other == nil || other.cut })
	if connected {
		w.apartSince = time.Time{}
	} else if w.apartSince.IsZero() {
		w.apartSince = w.now
	}
	connected = connected || w.now.Sub(w.apartSince) < w.detection
	if !connected {
		member.apartAt = w.now
	}
	announced, stated := member.origins.update(w.now, streamorigin.Connection{
		Complete: connected, Instances: len(w.instances),
		StoreReached: !member.cut && slices.ContainsFunc(w.instances, func(other *originsMember) bool {
			return other != nil && other != member && !other.cut && !other.behind && !w.store.away
		}),
	})
	if member.cut {
		return
	}
	for n, other := range w.instances {
		for _, statement := range []streamorigin.Statement{announced, stated} {
			isTarget := len(w.instances) <= originPeers || len(statement.Entries) == 0 || w.isNear(member, n)
			if other != nil && other != member && !other.cut && isTarget && !statement.IsEmpty() && !w.lose() {
				other.origins.learn(statement)
				other.tell(statement)
			}
		}
	}
}

// tell records the versions that a message states.
func (m *originsMember) tell(statement streamorigin.Statement) {
	for origin := range statement.InService {
		m.told[origin.Version] = true
	}
	for _, entry := range statement.Entries {
		m.told[entry.Origin.Version] = true
	}
}

// canKnow reports whether an instance can know that a version is or was in service. It cannot if it has neither read the endpoints nor
// got a message since the version was listed, and has not found out that it was cut off.
func (w *originsWorld) canKnow(n int, version string) bool {
	member := w.instances[n]
	return w.detection == 0 || member.told[version] || !member.apartAt.Before(w.listedAt[version])
}

// isNear reports whether an instance is one of those that get the streams of another one in a large fleet.
func (w *originsWorld) isNear(sender *originsMember, receiver int) bool {
	distance := receiver - slices.Index(w.instances, sender)
	return (distance+len(w.instances))%len(w.instances) <= originPeers
}

// find returns the version at which an instance continues a stream, "" if it does not know.
func (w *originsWorld) find(n int, id string) string {
	o := w.instances[n].origins
	origin, answer := o.directory.Find(w.now, w.now, id, originsService)
	if answer != streamorigin.Known {
		return ""
	}
	return origin.Version
}

func (w *originsWorld) record(n int, id, version string) {
	w.instances[n].origins.Record(id, streamorigin.Origin{Service: originsService, Version: version}, w.now.Add(streamorigin.Lifetime))
}

// killAll stops all instances, and starts them again after a time.
func (w *originsWorld) killAll(down time.Duration) {
	clear(w.instances)
	w.pass(down)
	for n := range w.instances {
		w.start(n)
	}
}
