package membership

import "time"

// List takes the entries of the lagging list in. It never revives what left.
// An empty list is ignored: the fleet has at least this instance.
func (t *Table) List(now time.Time, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	listed := make(map[string]struct{}, len(entries))
	heard := t.heardAddresses()
	for _, e := range entries {
		if e.Kind == KindEndpoint {
			listed[e.ID] = struct{}{}
			t.listEndpoint(e)
		} else {
			listed[e.incarnation()] = struct{}{}
			t.listMember(e, heard)
		}
	}
	t.dropUnlisted(now, listed)
}

// dropUnlisted removes what only the list knew of and no longer has.
func (t *Table) dropUnlisted(now time.Time, listed map[string]struct{}) {
	for id, e := range t.endpoints {
		if _, ok := listed[id]; !ok && !t.recentLoad(now, e) {
			delete(t.endpoints, id)
			t.changed = true
		}
	}
	for incarnation, m := range t.members {
		if _, ok := listed[incarnation]; !ok && m.State == Listed {
			t.forget(incarnation)
		}
	}
}

func (t *Table) recentLoad(now time.Time, e *Endpoint) bool {
	age, ok := e.LoadAge(now)
	return ok && age < freshLoad
}

// place is where an instance receives datagrams.
type place struct {
	id, address string
}

// heardAddresses returns the places of the members that send heartbeats.
func (t *Table) heardAddresses() map[place]struct{} {
	heard := make(map[place]struct{}, len(t.members))
	for _, m := range t.members {
		if m.State == Live || m.State == Suspect {
			heard[place{m.ID, m.DatagramAddress}] = struct{}{}
		}
	}
	return heard
}

func (t *Table) listMember(e Entry, heard map[place]struct{}) {
	incarnation := e.incarnation()
	if incarnation == t.cfg.Incarnation || e.ID == t.cfg.ID && !e.Leaving {
		// The list may name this instance under the platform's own incarnation.
		return
	}
	t.listLeaving(e)
	if _, ok := heard[place{e.ID, e.Address}]; ok {
		// The instance itself told its incarnation; the platform may use another one. A second
		// member for it would count twice when the times of heartbeats are estimated.
		return
	}
	_, known := t.members[incarnation]
	if known || t.left.has(incarnation) {
		return
	}
	t.put(Member{ID: e.ID, Incarnation: incarnation, Datacentre: e.Datacentre, DatagramAddress: e.Address})
}

func (t *Table) listLeaving(e Entry) {
	if e.Leaving && !t.left.has(e.incarnation()) {
		t.depart(e.incarnation(), "", time.Time{})
	}
}

func (t *Table) listEndpoint(e Entry) {
	incarnation := e.incarnation()
	t.listLeaving(e)
	next := Endpoint{ID: e.ID}
	if old, ok := t.endpoints[e.ID]; ok {
		if old.Incarnation != incarnation && t.left.has(incarnation) {
			// A late entry of an earlier incarnation.
			return
		}
		if old.Incarnation == incarnation {
			next = *old
		} else if old.Incarnation < incarnation {
			// An instance runs one incarnation at a time. Without this order the
			// list may be the late one, and nothing final follows from it.
			t.depart(old.Incarnation, "", time.Time{})
		}
	}
	before := next
	next.Incarnation, next.Service, next.Datacentre = incarnation, e.Service, e.Datacentre
	next.Zone, next.Class, next.Address, next.Reclaimable = e.Zone, e.Class, e.Address, e.Reclaimable
	next.Leaving = t.left.has(incarnation)
	if next != before {
		t.putEndpoint(next)
	}
}
