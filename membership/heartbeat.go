package membership

import (
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/wire"
)

// ApplyHeartbeat applies an authenticated heartbeat of another entry instance: its
// leaves, the sender's state, the live marks of its data centre and its loads.
func (t *Table) ApplyHeartbeat(now time.Time, heartbeat *wire.Heartbeat) {
	incarnation := heartbeat.GetIncarnation()
	if incarnation == "" || incarnation == t.cfg.Incarnation {
		return
	}
	t.successors.set(incarnation, heartbeat.GetSuccessor())
	for _, leave := range heartbeat.GetLeaves() {
		t.applyRelayedLeave(now, leave)
	}
	if heartbeat.GetLeaving() && !t.left.has(incarnation) {
		t.markLeft(incarnation, heartbeat.GetSuccessor(), time.Time{})
	}
	t.updateSender(now, heartbeat)
	t.applyLiveMarks(now, heartbeat)
	for _, load := range heartbeat.GetLoads() {
		t.storeNewerLoad(load.GetEndpoint(), loadReport(load), now.Add(-milliseconds(load.GetAgeMs())))
	}
}

// updateSender updates the member that sent a heartbeat, or adds it.
func (t *Table) updateSender(now time.Time, heartbeat *wire.Heartbeat) {
	old, known := t.members[heartbeat.GetIncarnation()]
	// A leaving member is removed when its heartbeats are missing for too long, for
	// example in a partition. It is added again afterwards: it may still own requests.
	left := t.left.has(heartbeat.GetIncarnation())
	if !known && !left && !t.acceptIncarnation(heartbeat) {
		return
	}
	m := Member{State: Live}
	if known {
		m = *old
	}
	m.ID, m.Incarnation, m.Datacentre = heartbeat.GetInstance(), heartbeat.GetIncarnation(), heartbeat.GetDatacentre()
	m.PeerAddress, m.DatagramAddress = heartbeat.GetPeerAddress(), heartbeat.GetDatagramAddress()
	m.OperatorAddress = heartbeat.GetOperatorAddress()
	m.Revision, m.RevisionSince = heartbeat.GetRevision(), now.Add(-milliseconds(heartbeat.GetRevisionAgeMs()))
	m.LastHeard, m.State = now, Live
	if left {
		m.State = Leaving
	}
	if heartbeat.GetSuccessor() != "" {
		m.Successor = heartbeat.GetSuccessor()
	}
	t.storeMember(m)
}

// acceptIncarnation reports whether no live or suspect member of the sender's instance has a
// newer incarnation. If so, the other known incarnations of the instance are marked as left.
// Incarnations are ULIDs, which sort by time: after the clock stepped back, the new one is
// refused until the old one is dead.
func (t *Table) acceptIncarnation(heartbeat *wire.Heartbeat) bool {
	for _, m := range t.members {
		if m.ID != heartbeat.GetInstance() || m.State == Leaving {
			continue
		}
		if m.Incarnation > heartbeat.GetIncarnation() && m.State != Dead && m.State != Listed {
			return false
		}
		t.markLeft(m.Incarnation, "", time.Time{})
	}
	return true
}

// applyLiveMarks applies the live marks of another data centre. They contain
// only hashes of incarnations, so they renew known members and add none.
func (t *Table) applyLiveMarks(now time.Time, heartbeat *wire.Heartbeat) {
	if len(heartbeat.GetAlive()) == 0 || heartbeat.GetDatacentre() == t.cfg.Datacentre {
		return
	}
	alive := make(map[uint64]struct{}, len(heartbeat.GetAlive()))
	for _, hash := range heartbeat.GetAlive() {
		alive[hash] = struct{}{}
	}
	for _, m := range t.members {
		if m.Datacentre != heartbeat.GetDatacentre() || m.State == Leaving {
			continue
		}
		if _, ok := alive[incarnationHash(m.Incarnation)]; ok {
			renewed := *m
			renewed.LastHeard, renewed.State = now, Live
			t.storeMember(renewed)
		}
	}
}

// StoreLoad stores a load report that this instance read from an endpoint at now.
func (t *Table) StoreLoad(now time.Time, endpoint string, report engine.LoadReport) {
	t.storeNewerLoad(endpoint, report, now)
}

// storeNewerLoad stores a load report taken at the time at, unless the stored one is at least as new.
func (t *Table) storeNewerLoad(endpoint string, report engine.LoadReport, at time.Time) {
	old, ok := t.endpoints[endpoint]
	if !ok || !at.After(old.LoadAt) {
		return
	}
	e := *old
	e.Load, e.LoadAt = report, at
	t.storeEndpoint(e)
}

func loadReport(load *wire.EndpointLoad) engine.LoadReport {
	return engine.LoadReport{
		Running: int(load.GetRunning()), Queued: int(load.GetQueued()), Leaving: load.GetLeaving(),
		PrefillTokens: int(load.GetPrefillTokens()), DecodeTokens: int(load.GetDecodeTokens()),
	}
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(max(0, ms)) * time.Millisecond
}
