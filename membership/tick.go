package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"knapweedhoist/wire"
)

// Tick is called once per Interval. It ages members and returns this
// interval's heartbeats: one for the data centre, one for each other.
func (t *Table) Tick(now time.Time, local Local) []Outgoing {
	t.age(now)
	t.round++
	t.self.Revision, t.self.RevisionSince, t.self.LastHeard = local.Revision, now.Add(-local.RevisionAge), now
	t.changed = true
	beat := t.beat(now, local)
	beat.Leaves = t.leaves.take(now)
	out := []Outgoing{{To: t.near(), Beat: beat}}
	for _, far := range t.far(now) {
		remote := t.beat(now, local)
		remote.Leaves = beat.Leaves
		remote.Alive = t.aliveHere()
		remote.Loads = append(remote.Loads, t.relayed(now)...)
		out = append(out, Outgoing{To: []string{far}, Beat: remote})
	}
	return out
}

// age moves silent members to suspect and dead, and forgets old dead ones.
func (t *Table) age(now time.Time) {
	interval := t.Interval()
	gaps := t.expectedGaps()
	for _, m := range t.sorted() {
		silence := now.Sub(m.LastHeard)
		gap := interval * time.Duration(gaps[m.Datacentre])
		switch {
		case silence >= DeadIntervals*gap && m.State == Leaving:
			t.forget(m.Incarnation)
		case silence >= DeadIntervals*gap && m.State != Dead && !m.LastHeard.IsZero():
			t.move(m, Dead)
			t.deadSince[m.Incarnation] = now
		case silence >= SuspectIntervals*gap && m.State == Live:
			t.move(m, Suspect)
		case m.State == Dead && now.Sub(t.deadSince[m.Incarnation]) >= forgetAfter:
			t.forget(m.Incarnation)
		}
	}
}

// expectedGaps returns, by data centre, after how many intervals a sign of life
// of its members is due: each of them sends to one member here in turn.
func (t *Table) expectedGaps() map[string]int {
	here, there := 1, make(map[string]int)
	for _, m := range t.members {
		switch {
		case m.Datacentre != t.cfg.Datacentre:
			there[m.Datacentre]++
		case m.State != Dead:
			here++
		}
	}
	gaps := map[string]int{t.cfg.Datacentre: 1}
	for datacentre, senders := range there {
		gaps[datacentre] = (here + senders - 1) / senders
	}
	return gaps
}

func (t *Table) move(m *Member, state State) {
	moved := *m
	moved.State = state
	t.put(moved)
}

func (t *Table) forget(incarnation string) {
	delete(t.members, incarnation)
	delete(t.deadSince, incarnation)
	t.changed = true
}

// beat returns a heartbeat without leaves.
func (t *Table) beat(now time.Time, local Local) *wire.Heartbeat {
	return &wire.Heartbeat{
		Instance: t.cfg.ID, Incarnation: t.cfg.Incarnation, Datacentre: t.cfg.Datacentre,
		PeerAddress: t.cfg.PeerAddress, DatagramAddress: t.cfg.DatagramAddress, OperatorAddress: t.cfg.OperatorAddress,
		Leaving: t.self.State == Leaving, Successor: t.self.Successor,
		Revision: local.Revision, RevisionAgeMs: local.RevisionAge.Milliseconds(),
		Loads:  t.watchedLoads(now),
		WallMs: local.Stamp.WallMs, Logical: local.Stamp.Logical,
	}
}

// near returns the members of this data centre; dead ones now and then.
func (t *Table) near() []string {
	var to []string
	for _, m := range t.sorted() {
		probe := m.State != Dead || t.round%deadProbe == 0
		if m.Datacentre == t.cfg.Datacentre && m.DatagramAddress != "" && probe {
			to = append(to, m.DatagramAddress)
		}
	}
	return to
}

// far returns one member of each other data centre. The rounds of the senders
// are about the same and their ranks differ, so that each receiver is reached
// by about one of them per interval. Leaving members are among the receivers:
// they need live peers for their handover, and may not know yet that they leave.
func (t *Table) far(now time.Time) []string {
	groups := make(map[string][]*Member)
	rank := 0
	for _, m := range t.sorted() {
		if m.Datacentre != t.cfg.Datacentre {
			// A leaving member needs signs of life too: it chooses a successor for its requests.
			if m.DatagramAddress != "" {
				groups[m.Datacentre] = append(groups[m.Datacentre], m)
			}
		} else if m.Incarnation < t.cfg.Incarnation {
			rank++
		}
	}
	turn := rank + int(now.UnixNano()/int64(t.Interval()))
	var to []string
	for _, datacentre := range sortedKeys(groups) {
		group := reachable(groups[datacentre])
		to = append(to, group[turn%len(group)].DatagramAddress)
	}
	return to
}

// reachable returns the members that are not dead, or all when all are dead:
// then the data centre may be cut off and has to be probed.
func reachable(group []*Member) []*Member {
	alive := slices.DeleteFunc(slices.Clone(group), func(m *Member) bool { return m.State == Dead })
	if len(alive) > 0 {
		return alive
	}
	return group
}

// aliveHere returns the live marks of this data centre.
func (t *Table) aliveHere() []uint64 {
	var alive []uint64
	for _, m := range t.View().live {
		if m.Datacentre == t.cfg.Datacentre {
			alive = append(alive, incarnationHash(m.Incarnation))
		}
	}
	return alive
}

// watchedLoads returns the loads of the endpoints that this instance watches.
func (t *Table) watchedLoads(now time.Time) []*wire.EndpointLoad {
	var loads []*wire.EndpointLoad
	for _, e := range t.View().watched {
		if !e.LoadAt.IsZero() {
			loads = append(loads, loadMessage(now, e))
		}
	}
	return loads
}

// relayed returns loads that other members of this data centre reported, a
// different part in each round.
func (t *Table) relayed(now time.Time) []*wire.EndpointLoad {
	view := t.View()
	var near []*Endpoint
	for _, e := range view.Endpoints {
		if e.Datacentre == t.cfg.Datacentre && !e.LoadAt.IsZero() && !slices.Contains(view.watched, e) {
			near = append(near, e)
		}
	}
	var loads []*wire.EndpointLoad
	for i := range min(relayedLoads, len(near)) {
		e := near[(int(t.round)*relayedLoads+i)%len(near)]
		loads = append(loads, loadMessage(now, e))
	}
	return loads
}

func loadMessage(now time.Time, e *Endpoint) *wire.EndpointLoad {
	return &wire.EndpointLoad{
		Endpoint: e.ID, AgeMs: now.Sub(e.LoadAt).Milliseconds(), Leaving: e.Load.Leaving || e.Leaving,
		Running: uint32(e.Load.Running), Queued: uint32(e.Load.Queued),
		PrefillTokens: uint32(e.Load.PrefillTokens), DecodeTokens: uint32(e.Load.DecodeTokens),
	}
}

// sorted returns the members in the order of their incarnations.
func (t *Table) sorted() []*Member {
	members := make([]*Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return members
}

func sortedKeys(groups map[string][]*Member) []string {
	keys := make([]string, 0, len(groups))
	for key := range groups {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func incarnationHash(incarnation string) uint64 {
	return xxh3.HashString(incarnation)
}
