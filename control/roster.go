package control

import (
	"time"

	"knapweedhoist/membership"
	"knapweedhoist/wire"
)

// roster is this instance's copy of the platform's list of instances and
// endpoints, which is eventually consistent. Two instances of each data centre
// read the list often and relay the changes to the others: with 360 instances, a
// read of 1,000 entries by each of them every few seconds would cost each more
// than its whole bandwidth budget for control traffic (17 KB/s).
type roster struct {
	// entries holds the list by id.
	entries map[string]membership.Entry
}

func newRoster() roster {
	return roster{entries: make(map[string]membership.Entry)}
}

// replace replaces all entries and returns the changes.
func (r *roster) replace(entries []membership.Entry) *wire.RosterRelay {
	relay := &wire.RosterRelay{}
	next := make(map[string]membership.Entry, len(entries))
	for _, e := range entries {
		next[e.ID] = e
		if old, known := r.entries[e.ID]; !known || old != e {
			relay.Changed = append(relay.Changed, entryMessage(e))
		}
	}
	for _, id := range sortedKeys(r.entries) {
		if _, found := next[id]; !found {
			relay.Removed = append(relay.Removed, id)
		}
	}
	r.entries = next
	return relay
}

// apply applies the changes that a peer relayed.
func (r *roster) apply(relay *wire.RosterRelay) {
	for _, id := range relay.GetRemoved() {
		delete(r.entries, id)
	}
	for _, message := range relay.GetChanged() {
		r.entries[message.GetId()] = entryFromMessage(message)
	}
}

// sortedEntries returns the entries ordered by id.
func (r *roster) sortedEntries() []membership.Entry {
	entries := make([]membership.Entry, 0, len(r.entries))
	for _, id := range sortedKeys(r.entries) {
		entries = append(entries, r.entries[id])
	}
	return entries
}

// handleRosterRead processes a read of the list by this instance. An empty list
// is ignored. The first read is not relayed, because every entry in it counts as
// changed.
func (c *Core) handleRosterRead(now time.Time, entries []membership.Entry) []Effect {
	if len(entries) == 0 {
		return nil
	}
	firstRead := len(c.roster.entries) == 0
	relay := c.roster.replace(entries)
	c.members.ApplyList(now, entries)
	if firstRead || len(relay.GetChanged())+len(relay.GetRemoved()) == 0 {
		return nil
	}
	return []Effect{RelayRoster{Relay: relay}}
}

// handleRosterRelay processes changes of the list that a peer relayed. They are
// ignored before the first read by this instance, because the changed entries
// alone would be taken for the complete list.
func (c *Core) handleRosterRelay(now time.Time, relay *wire.RosterRelay) {
	if len(c.roster.entries) == 0 {
		return
	}
	c.roster.apply(relay)
	c.members.ApplyList(now, c.roster.sortedEntries())
}

func entryMessage(e membership.Entry) *wire.RosterEntry {
	return &wire.RosterEntry{
		Id: e.ID, Incarnation: e.Incarnation, Kind: string(e.Kind), Service: e.Service, Datacentre: e.Datacentre,
		Zone: e.Zone, Class: e.Class, Address: e.Address, Reclaimable: e.Reclaimable, Leaving: e.Leaving,
	}
}

func entryFromMessage(m *wire.RosterEntry) membership.Entry {
	return membership.Entry{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), Kind: membership.Kind(m.GetKind()), Service: m.GetService(),
		Datacentre: m.GetDatacentre(), Zone: m.GetZone(), Class: m.GetClass(), Address: m.GetAddress(),
		Reclaimable: m.GetReclaimable(), Leaving: m.GetLeaving(),
	}
}
