package membership

import "time"

// ApplyList applies the entries of the lagging list. It never makes a left incarnation
// live again. An empty list is ignored, since at least this instance runs.
func (t *Table) ApplyList(now time.Time, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	listed := make(map[string]struct{}, len(entries))
	senders := t.heartbeatSenders()
	for _, e := range entries {
		if e.Kind == KindEndpoint {
			listed[e.ID] = struct{}{}
			t.applyListedEndpoint(e)
		} else {
			listed[e.incarnation()] = struct{}{}
			t.applyListedMember(e, senders)
		}
	}
	t.dropUnlisted(now, listed)
}

// dropUnlisted removes endpoints without a recent load report, and members known
// only from the list, that the list no longer contains.
func (t *Table) dropUnlisted(now time.Time, listed map[string]struct{}) {
	for id, e := range t.endpoints {
		if _, ok := listed[id]; !ok && !t.hasRecentLoad(now, e) {
			delete(t.endpoints, id)
			t.viewStale = true
		}
	}
	for incarnation, m := range t.members {
		if _, ok := listed[incarnation]; !ok && m.State == Listed {
			t.removeMember(incarnation)
		}
	}
}

func (t *Table) hasRecentLoad(now time.Time, e *Endpoint) bool {
	age, ok := e.LoadAge(now)
	return ok && age < maxUnlistedLoadAge
}

// instanceAddress identifies an instance by its id and datagram address.
type instanceAddress struct {
	id, address string
}

// heartbeatSenders returns the ids and datagram addresses of the live and suspect members.
func (t *Table) heartbeatSenders() map[instanceAddress]struct{} {
	senders := make(map[instanceAddress]struct{}, len(t.members))
	for _, m := range t.members {
		if m.State == Live || m.State == Suspect {
			senders[instanceAddress{m.ID, m.DatagramAddress}] = struct{}{}
		}
	}
	return senders
}

func (t *Table) applyListedMember(e Entry, senders map[instanceAddress]struct{}) {
	incarnation := e.incarnation()
	if incarnation == t.cfg.Incarnation || e.ID == t.cfg.ID && !e.Leaving {
		// The list may contain this instance under an incarnation assigned by the platform.
		return
	}
	t.markListedLeaving(e)
	if _, ok := senders[instanceAddress{e.ID, e.Address}]; ok {
		// The listed instance is known from its heartbeats, and the list may contain it under an
		// incarnation assigned by the platform. As two members it would count twice in expectedGaps.
		return
	}
	_, known := t.members[incarnation]
	if known || t.left.has(incarnation) {
		return
	}
	t.storeMember(Member{ID: e.ID, Incarnation: incarnation, Datacentre: e.Datacentre, DatagramAddress: e.Address})
}

func (t *Table) markListedLeaving(e Entry) {
	if e.Leaving && !t.left.has(e.incarnation()) {
		t.markLeft(e.incarnation(), "", time.Time{})
	}
}

func (t *Table) applyListedEndpoint(e Entry) {
	incarnation := e.incarnation()
	t.markListedLeaving(e)
	next := Endpoint{ID: e.ID}
	if old, ok := t.endpoints[e.ID]; ok {
		if old.Incarnation != incarnation && t.left.has(incarnation) {
			// The listed incarnation is leaving or has left, so it does not replace the known one.
			return
		}
		if old.Incarnation == incarnation {
			next = *old
		} else if old.Incarnation < incarnation {
			// An instance runs one incarnation at a time, so the older one has left. If
			// the listed one is the older, the list may lag, and neither is marked as left.
			t.markLeft(old.Incarnation, "", time.Time{})
		}
	}
	before := next
	next.Incarnation, next.Service, next.Datacentre = incarnation, e.Service, e.Datacentre
	next.Zone, next.Class, next.Address, next.Reclaimable = e.Zone, e.Class, e.Address, e.Reclaimable
	next.Leaving = t.left.has(incarnation)
	if next != before {
		t.storeEndpoint(next)
	}
}
