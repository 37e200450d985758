package membership

import (
	"cmp"
	"slices"
	"time"
)

// Numbers of live members of a data centre that watch each of its endpoints, and the
// configuration. With two, one still watches while the stop of the other is detected.
const (
	watchersPerEndpoint         = 2
	configWatchersPerDatacentre = 2
)

// View is an immutable snapshot of a Table, safe for concurrent use.
type View struct {
	// Self is this instance.
	Self *Member
	// Members are all known entry instances including Self, sorted by incarnation.
	Members []*Member
	// Endpoints are all known endpoints, sorted by id.
	Endpoints []*Endpoint
	// Interval is the time between heartbeats.
	Interval time.Duration
	// StartedAt is when the table was created. Until DiscoveryPeriodPassed returns true, the first
	// heartbeat of a running member may not have been received yet.
	StartedAt time.Time

	live       []*Member
	watched    []*Endpoint
	members    map[string]*Member
	endpoints  map[string]*Endpoint
	services   map[string][]*Endpoint
	successors map[string]string
}

// View returns the current view. It is rebuilt only after a change of the table.
func (t *Table) View() *View {
	if t.view != nil && !t.viewStale {
		return t.view
	}
	self := t.self
	v := &View{
		Self: &self, Members: append(t.sortedMembers(), &self), Endpoints: make([]*Endpoint, 0, len(t.endpoints)),
		Interval: t.Interval(), StartedAt: t.started,
		members:   make(map[string]*Member, len(t.members)+1),
		endpoints: make(map[string]*Endpoint, len(t.endpoints)),
		services:  make(map[string][]*Endpoint), successors: t.successors.copy(),
	}
	for _, e := range t.endpoints {
		v.Endpoints = append(v.Endpoints, e)
		v.endpoints[e.ID] = e
	}
	slices.SortFunc(v.Members, func(a, b *Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	slices.SortFunc(v.Endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	v.buildIndexes()
	t.view, t.viewStale = v, false
	return v
}

func (v *View) buildIndexes() {
	for _, m := range v.Members {
		v.members[m.Incarnation] = m
		if m.State == Live {
			v.live = append(v.live, m)
		}
	}
	localMembers := v.LiveIn(v.Self.Datacentre)
	for _, e := range v.Endpoints {
		if !e.Leaving {
			v.services[e.Service] = append(v.services[e.Service], e)
		}
		if e.Datacentre == v.Self.Datacentre && slices.Contains(Choose(localMembers, "endpoint/"+e.ID, watchersPerEndpoint), v.Self) {
			v.watched = append(v.watched, e)
		}
	}
}

// Live returns the live entry instances, sorted by incarnation.
func (v *View) Live() []*Member { return v.live }

// LiveIn returns the live entry instances of a data centre, sorted by incarnation.
func (v *View) LiveIn(datacentre string) []*Member {
	var live []*Member
	for _, m := range v.live {
		if m.Datacentre == datacentre {
			live = append(live, m)
		}
	}
	return live
}

// Member returns the entry instance with an incarnation, nil when unknown.
func (v *View) Member(incarnation string) *Member { return v.members[incarnation] }

// Endpoint returns the endpoint with an id, nil when unknown.
func (v *View) Endpoint(id string) *Endpoint { return v.endpoints[id] }

// Service returns the endpoints of a service that are not leaving, sorted by id.
func (v *View) Service(name string) []*Endpoint { return v.services[name] }

// Owner returns the live member that owns key, for example "claim/7"; nil when there is none.
func (v *View) Owner(key string) *Member {
	chosen := Choose(v.live, key, 1)
	if len(chosen) == 0 {
		return nil
	}
	return chosen[0]
}

// Watched returns the endpoints that this instance watches, sorted by id.
func (v *View) Watched() []*Endpoint { return v.watched }

// Watchers returns the members that watch an endpoint.
func (v *View) Watchers(e *Endpoint) []*Member {
	return Choose(v.LiveIn(e.Datacentre), "endpoint/"+e.ID, watchersPerEndpoint)
}

// ConfigWatchers returns the members that watch the configuration in a data centre.
func (v *View) ConfigWatchers(datacentre string) []*Member {
	return Choose(v.LiveIn(datacentre), "config/"+datacentre, configWatchersPerDatacentre)
}

// WatchesConfig reports whether this instance watches the configuration.
func (v *View) WatchesConfig() bool {
	return slices.Contains(v.ConfigWatchers(v.Self.Datacentre), v.Self)
}

// Successor returns the last incarnation in the chain of successors of a leaving or
// left incarnation; false when it has no known successor.
func (v *View) Successor(incarnation string) (string, bool) {
	return lastSuccessor(v.successors, incarnation)
}

// NextSuccessor returns the first incarnation in the chain of successors of a
// leaving or left incarnation whose member is known and not dead, else the last one;
// false when it has no known successor. A member that is
// leaving still has the requests that it has not released yet and the finished ones.
func (v *View) NextSuccessor(incarnation string) (string, bool) {
	next := incarnation
	for range maxSuccessorHops {
		successor, ok := v.successors[next]
		if !ok {
			break
		}
		next = successor
		if m := v.members[next]; m != nil && m.State != Dead {
			break
		}
	}
	return next, next != incarnation
}

// DiscoveryPeriodPassed reports whether the table has existed for SuspectIntervals heartbeat
// intervals. By then a heartbeat or live mark of each live member is expected, except
// for data centres whose expected gap exceeds SuspectIntervals intervals (see expectedGaps).
func (v *View) DiscoveryPeriodPassed(now time.Time) bool {
	return now.Sub(v.StartedAt) >= SuspectIntervals*v.Interval
}
