package control

import (
	"maps"
	"slices"
	"time"

	"knapweedhoist/membership"
)

// seen is what was already told of the changes of the fleet.
type seen struct {
	// endpoints are the leaving endpoints by incarnation, with their known end.
	endpoints map[string]time.Time
	// leaving are the successors named by leaving members, by incarnation.
	leaving map[string]string
	dead    map[string]struct{}
}

func newSeen() seen {
	return seen{
		endpoints: make(map[string]time.Time), leaving: make(map[string]string), dead: make(map[string]struct{}),
	}
}

// publishInterval bounds how often a new view is made for changes that can
// wait, such as load reports: at 360 instances and 640 endpoints making a view
// takes about half a millisecond, and 30 heartbeats a second arrive.
const publishInterval = 200 * time.Millisecond

// publish returns the effects of what changed in the fleet and the catalogue.
// Leaves and new configuration are published at once.
func (c *Core) publish(now time.Time) []Effect {
	if !c.urgent && now.Before(c.nextPublish) {
		return nil
	}
	c.urgent, c.nextPublish = false, now.Add(publishInterval)
	next := &View{Fleet: c.members.View(), Catalog: c.config.snapshot()}
	if *next == *c.view {
		return nil
	}
	fleetChanged := next.Fleet != c.view.Fleet
	c.view = next
	effects := []Effect{Publish{View: next}}
	if fleetChanged {
		effects = append(effects, c.seen.endpointChanges(next.Fleet)...)
		effects = append(effects, c.seen.memberChanges(next.Fleet)...)
	}
	return effects
}

func (s *seen) endpointChanges(view *membership.View) []Effect {
	var effects []Effect
	current := make(map[string]time.Time)
	for _, endpoint := range view.Endpoints {
		if !endpoint.Leaving {
			continue
		}
		until, known := s.endpoints[endpoint.Incarnation]
		if !known || !until.Equal(endpoint.EndsAt) {
			effects = append(effects, EndpointLeaving{Endpoint: endpoint})
		}
		current[endpoint.Incarnation] = endpoint.EndsAt
	}
	s.endpoints = current
	return effects
}

// memberChanges tells of members that are leaving, and of those that died or
// vanished after they had announced to leave.
func (s *seen) memberChanges(view *membership.View) []Effect {
	var effects []Effect
	leaving, dead := make(map[string]string), make(map[string]struct{})
	for _, m := range view.Members {
		if m == view.Self {
			continue
		}
		switch m.State {
		case membership.Leaving:
			leaving[m.Incarnation] = m.Successor
			if old, known := s.leaving[m.Incarnation]; !known || old != m.Successor {
				effects = append(effects, MemberLeaving{Incarnation: m.Incarnation, Successor: m.Successor})
			}
		case membership.Dead:
			dead[m.Incarnation] = struct{}{}
			if _, known := s.dead[m.Incarnation]; !known {
				effects = append(effects, MemberGone{Incarnation: m.Incarnation})
			}
		case membership.Listed, membership.Live, membership.Suspect:
		}
	}
	for _, incarnation := range sortedIDs(s.leaving) {
		if view.Member(incarnation) == nil {
			effects = append(effects, MemberGone{Incarnation: incarnation})
		}
	}
	s.leaving, s.dead = leaving, dead
	return effects
}

func sortedIDs[T any](values map[string]T) []string {
	return slices.Sorted(maps.Keys(values))
}
