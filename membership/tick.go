package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"knapweedhoist/wire"
)

// Tick is called once per Interval. It updates the states of members and
// returns the heartbeats of this interval: one for the members of this data centre
// and one for a member of each other data centre.
func (t *Table) Tick(now time.Time, local LocalState) []Outgoing {
	t.updateStates(now)
	t.round++
	t.self.Revision, t.self.RevisionSince, t.self.LastHeard = local.Revision, now.Add(-local.RevisionAge), now
	t.viewStale = true
	heartbeat := t.newHeartbeat(now, local)
	heartbeat.Leaves = t.queuedLeaves.nextBatch(now)
	out := []Outgoing{{To: t.localTargets(), Heartbeat: heartbeat}}
	for _, target := range t.remoteTargets(now) {
		remoteHeartbeat := t.newHeartbeat(now, local)
		remoteHeartbeat.Leaves = heartbeat.Leaves
		remoteHeartbeat.Alive = t.liveMarks()
		remoteHeartbeat.Loads = append(remoteHeartbeat.Loads, t.loadsToRelay(now)...)
		out = append(out, Outgoing{To: []string{target}, Heartbeat: remoteHeartbeat})
	}
	return out
}

// updateStates marks members without recent heartbeats or live marks, except listed ones, as suspect or dead. It
// removes leaving members instead of marking them as dead, and dead ones after deadRetention.
func (t *Table) updateStates(now time.Time) {
	interval := t.Interval()
	gaps := t.expectedGaps()
	for _, m := range t.sortedMembers() {
		silence := now.Sub(m.LastHeard)
		gap := interval * time.Duration(gaps[m.Datacentre])
		switch {
		case silence >= DeadIntervals*gap && m.State == Leaving:
			t.removeMember(m.Incarnation)
		case silence >= DeadIntervals*gap && m.State != Dead && !m.LastHeard.IsZero():
			t.setState(m, Dead)
			t.deadSince[m.Incarnation] = now
		case silence >= SuspectIntervals*gap && m.State == Live:
			t.setState(m, Suspect)
		case m.State == Dead && now.Sub(t.deadSince[m.Incarnation]) >= deadRetention:
			t.removeMember(m.Incarnation)
		}
	}
}

// expectedGaps returns, by data centre, the number of intervals between heartbeats
// or live marks from it: each of its members sends to one member of this data centre in turn.
func (t *Table) expectedGaps() map[string]int {
	receivers, sendersByDatacentre := 1, make(map[string]int)
	for _, m := range t.members {
		switch {
		case m.Datacentre != t.cfg.Datacentre:
			sendersByDatacentre[m.Datacentre]++
		case m.State != Dead:
			receivers++
		}
	}
	gaps := map[string]int{t.cfg.Datacentre: 1}
	for datacentre, senders := range sendersByDatacentre {
		gaps[datacentre] = (receivers + senders - 1) / senders
	}
	return gaps
}

func (t *Table) setState(m *Member, state State) {
	updated := *m
	updated.State = state
	t.storeMember(updated)
}

func (t *Table) removeMember(incarnation string) {
	delete(t.members, incarnation)
	delete(t.deadSince, incarnation)
	t.viewStale = true
}

// newHeartbeat returns a heartbeat without leaves and live marks. Its loads are those of the watched endpoints.
func (t *Table) newHeartbeat(now time.Time, local LocalState) *wire.Heartbeat {
	return &wire.Heartbeat{
		Instance: t.cfg.ID, Incarnation: t.cfg.Incarnation, Datacentre: t.cfg.Datacentre,
		PeerAddress: t.cfg.PeerAddress, DatagramAddress: t.cfg.DatagramAddress, OperatorAddress: t.cfg.OperatorAddress,
		Leaving: t.self.State == Leaving, Successor: t.self.Successor,
		Revision: local.Revision, RevisionAgeMs: local.RevisionAge.Milliseconds(),
		Loads:  t.watchedLoads(now),
		WallMs: local.Stamp.WallMs, Logical: local.Stamp.Logical,
	}
}

// localTargets returns the datagram addresses of the members of this data centre; those of
// dead ones only every deadProbeIntervals rounds.
func (t *Table) localTargets() []string {
	var to []string
	for _, m := range t.sortedMembers() {
		probe := m.State != Dead || t.round%deadProbeIntervals == 0
		if m.Datacentre == t.cfg.Datacentre && m.DatagramAddress != "" && probe {
			to = append(to, m.DatagramAddress)
		}
	}
	return to
}

// remoteTargets returns the datagram address of one member of each other data centre. The
// choice moves on by one member per interval and is offset by this instance's rank in its
// data centre, so that the senders' heartbeats are spread evenly over the receivers. Leaving
// members are among the receivers: each needs a live successor for its requests, and may
// not have received the notice of its own leave.
func (t *Table) remoteTargets(now time.Time) []string {
	groups := make(map[string][]*Member)
	rank := 0
	for _, m := range t.sortedMembers() {
		if m.Datacentre != t.cfg.Datacentre {
			if m.DatagramAddress != "" {
				groups[m.Datacentre] = append(groups[m.Datacentre], m)
			}
		} else if m.Incarnation < t.cfg.Incarnation {
			rank++
		}
	}
	offset := rank + int(now.UnixNano()/int64(t.Interval()))
	var to []string
	for _, datacentre := range sortedKeys(groups) {
		group := reachable(groups[datacentre])
		to = append(to, group[offset%len(group)].DatagramAddress)
	}
	return to
}

// reachable returns the members that are not dead, or all when all are dead:
// then a partition may separate the data centre, and it has to be probed.
func reachable(group []*Member) []*Member {
	alive := slices.DeleteFunc(slices.Clone(group), func(m *Member) bool { return m.State == Dead })
	if len(alive) > 0 {
		return alive
	}
	return group
}

// liveMarks returns the live marks of this data centre: the hashes of the
// incarnations of its live members.
func (t *Table) liveMarks() []uint64 {
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

// loadsToRelay returns at most maxRelayedLoads of the loads that other members of this data
// centre reported, a different part in each round.
func (t *Table) loadsToRelay(now time.Time) []*wire.EndpointLoad {
	view := t.View()
	var relayable []*Endpoint
	for _, e := range view.Endpoints {
		if e.Datacentre == t.cfg.Datacentre && !e.LoadAt.IsZero() && !slices.Contains(view.watched, e) {
			relayable = append(relayable, e)
		}
	}
	var loads []*wire.EndpointLoad
	for i := range min(maxRelayedLoads, len(relayable)) {
		e := relayable[(int(t.round)*maxRelayedLoads+i)%len(relayable)]
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

// sortedMembers returns the members, sorted by incarnation.
func (t *Table) sortedMembers() []*Member {
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
