package control

import (
	"maps"
	"slices"
	"time"

	"knapweedhoist/membership"
)

// changeDetector compares each published view of the fleet with the previous one,
// so that each leave, change of an end or successor, and death yields one effect.
type changeDetector struct {
	// leavingEndpoints holds the end of each leaving endpoint, by incarnation; the zero time if it is not known.
	leavingEndpoints map[string]time.Time
	// leavingMembers holds the successor of each leaving member, by incarnation.
	leavingMembers map[string]string
	// deadMembers holds the incarnations of the dead members.
	deadMembers map[string]struct{}
}

func newChangeDetector() changeDetector {
	return changeDetector{
		leavingEndpoints: make(map[string]time.Time), leavingMembers: make(map[string]string),
		deadMembers: make(map[string]struct{}),
	}
}

// publishInterval is the least time between two views for changes that can wait,
// such as load reports: with 360 instances and 640 endpoints, building a view
// takes about half a millisecond, and 30 heartbeats a second arrive.
const publishInterval = 200 * time.Millisecond

// publish builds a new view if one is due and returns the effects of the changes
// in the fleet and the configuration. Leaves, reads of the roster and new
// configuration are published at once, other changes at most once in
// publishInterval.
func (c *Core) publish(now time.Time) []Effect {
	if !c.publishNow && now.Before(c.nextPublishAt) {
		return nil
	}
	c.publishNow, c.nextPublishAt = false, now.Add(publishInterval)
	next := &View{Fleet: c.members.View(), Catalog: c.configuration.snapshot()}
	if *next == *c.view {
		return nil
	}
	fleetChanged := next.Fleet != c.view.Fleet
	c.view = next
	effects := []Effect{Publish{View: next}}
	if fleetChanged {
		effects = append(effects, c.changes.endpointChanges(next.Fleet)...)
		effects = append(effects, c.changes.memberChanges(next.Fleet)...)
	}
	return effects
}

// endpointChanges returns an EndpointLeaving for each endpoint that started to
// leave, or whose end changed.
func (d *changeDetector) endpointChanges(view *membership.View) []Effect {
	var effects []Effect
	current := make(map[string]time.Time)
	for _, endpoint := range view.Endpoints {
		if !endpoint.Leaving {
			continue
		}
		until, known := d.leavingEndpoints[endpoint.Incarnation]
		if !known || !until.Equal(endpoint.EndsAt) {
			effects = append(effects, EndpointLeaving{Endpoint: endpoint})
		}
		current[endpoint.Incarnation] = endpoint.EndsAt
	}
	d.leavingEndpoints = current
	return effects
}

// memberChanges returns a MemberLeaving for each member that started to leave or
// changed its successor, and a MemberDead for each member that died, or is no
// longer in the view after it was leaving.
func (d *changeDetector) memberChanges(view *membership.View) []Effect {
	var effects []Effect
	leaving, dead := make(map[string]string), make(map[string]struct{})
	for _, m := range view.Members {
		if m == view.Self {
			continue
		}
		switch m.State {
		case membership.Leaving:
			leaving[m.Incarnation] = m.Successor
			if previous, known := d.leavingMembers[m.Incarnation]; !known || previous != m.Successor {
				effects = append(effects, MemberLeaving{Incarnation: m.Incarnation, Successor: m.Successor})
			}
		case membership.Dead:
			dead[m.Incarnation] = struct{}{}
			if _, known := d.deadMembers[m.Incarnation]; !known {
				effects = append(effects, MemberDead{Incarnation: m.Incarnation})
			}
		case membership.Listed, membership.Live, membership.Suspect:
		}
	}
	for _, incarnation := range sortedKeys(d.leavingMembers) {
		if view.Member(incarnation) == nil {
			effects = append(effects, MemberDead{Incarnation: incarnation})
		}
	}
	d.leavingMembers, d.deadMembers = leaving, dead
	return effects
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[T any](values map[string]T) []string {
	return slices.Sorted(maps.Keys(values))
}
