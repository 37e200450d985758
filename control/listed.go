package control

import (
	"time"

	"knapweedhoist/membership"
	"knapweedhoist/wire"
)

// listed is the lagging list as this instance knows it. Two instances of each
// data centre read it often and relay what changed; at the design size a read
// of 1,000 entries by each of 360 instances every few seconds would cost each
// of them more than its whole control budget.
type listed struct {
	entries map[string]membership.Entry
}

func newListed() listed {
	return listed{entries: make(map[string]membership.Entry)}
}

// read replaces the list and returns what changed.
func (l *listed) read(entries []membership.Entry) *wire.RosterRelay {
	relay := &wire.RosterRelay{}
	next := make(map[string]membership.Entry, len(entries))
	for _, e := range entries {
		next[e.ID] = e
		if old, known := l.entries[e.ID]; !known || old != e {
			relay.Changed = append(relay.Changed, entryMessage(e))
		}
	}
	for _, id := range sortedIDs(l.entries) {
		if _, found := next[id]; !found {
			relay.Removed = append(relay.Removed, id)
		}
	}
	l.entries = next
	return relay
}

// merge applies a relay.
func (l *listed) merge(relay *wire.RosterRelay) {
	for _, id := range relay.GetRemoved() {
		delete(l.entries, id)
	}
	for _, message := range relay.GetChanged() {
		l.entries[message.GetId()] = entryFromMessage(message)
	}
}

// all returns the entries in the order of their ids.
func (l *listed) all() []membership.Entry {
	entries := make([]membership.Entry, 0, len(l.entries))
	for _, id := range sortedIDs(l.entries) {
		entries = append(entries, l.entries[id])
	}
	return entries
}

// rosterRead takes the list in that this instance read. The first read is not
// relayed, since everything is new to this instance then.
func (c *Core) rosterRead(now time.Time, entries []membership.Entry) []Effect {
	if len(entries) == 0 {
		return nil
	}
	first := len(c.listed.entries) == 0
	relay := c.listed.read(entries)
	c.members.List(now, entries)
	if first || len(relay.GetChanged())+len(relay.GetRemoved()) == 0 {
		return nil
	}
	return []Effect{RelayRoster{Relay: relay}}
}

// rosterRelayed takes a peer's changes of the list in. Before the own first
// read they are ignored, since a part of the list would look like all of it.
func (c *Core) rosterRelayed(now time.Time, relay *wire.RosterRelay) {
	if len(c.listed.entries) == 0 {
		return
	}
	c.listed.merge(relay)
	c.members.List(now, c.listed.all())
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
