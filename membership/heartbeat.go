package membership

import (
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/wire"
)

// Heartbeat takes an authenticated heartbeat of another entry instance in.
func (t *Table) Heartbeat(now time.Time, beat *wire.Heartbeat) {
	incarnation := beat.GetIncarnation()
	if incarnation == "" || incarnation == t.cfg.Incarnation {
		return
	}
	t.successors.set(incarnation, beat.GetSuccessor())
	for _, leave := range beat.GetLeaves() {
		t.learn(now, leave)
	}
	if beat.GetLeaving() && !t.left.has(incarnation) {
		t.depart(incarnation, beat.GetSuccessor(), time.Time{})
	}
	t.hear(now, beat)
	t.hearAlive(now, beat)
	for _, load := range beat.GetLoads() {
		t.putLoad(load.GetEndpoint(), loadReport(load), now.Add(-milliseconds(load.GetAgeMs())))
	}
}

// hear updates the sender of a heartbeat.
func (t *Table) hear(now time.Time, beat *wire.Heartbeat) {
	old, known := t.members[beat.GetIncarnation()]
	// A leaving instance that was cut off for a while is forgotten, and has to be
	// found again when the cut ends: it may still own requests.
	left := t.left.has(beat.GetIncarnation())
	if !known && !left && !t.supersedes(beat) {
		return
	}
	m := Member{State: Live}
	if known {
		m = *old
	}
	m.ID, m.Incarnation, m.Datacentre = beat.GetInstance(), beat.GetIncarnation(), beat.GetDatacentre()
	m.PeerAddress, m.DatagramAddress = beat.GetPeerAddress(), beat.GetDatagramAddress()
	m.OperatorAddress = beat.GetOperatorAddress()
	m.Revision, m.RevisionSince = beat.GetRevision(), now.Add(-milliseconds(beat.GetRevisionAgeMs()))
	m.LastHeard, m.State = now, Live
	if left {
		m.State = Leaving
	}
	if beat.GetSuccessor() != "" {
		m.Successor = beat.GetSuccessor()
	}
	t.put(m)
}

// supersedes reports whether the sender is the newest incarnation of its
// instance, and marks an older one as left. Incarnations are ULIDs and order
// by time; after a clock step back the old one first has to be dead.
func (t *Table) supersedes(beat *wire.Heartbeat) bool {
	for _, m := range t.members {
		if m.ID != beat.GetInstance() || m.State == Leaving {
			continue
		}
		if m.Incarnation > beat.GetIncarnation() && m.State != Dead && m.State != Listed {
			return false
		}
		t.depart(m.Incarnation, "", time.Time{})
	}
	return true
}

// hearAlive takes the live marks of another data centre in. They are hearsay:
// they renew members that are known, and do not make new ones.
func (t *Table) hearAlive(now time.Time, beat *wire.Heartbeat) {
	if len(beat.GetAlive()) == 0 || beat.GetDatacentre() == t.cfg.Datacentre {
		return
	}
	alive := make(map[uint64]struct{}, len(beat.GetAlive()))
	for _, hash := range beat.GetAlive() {
		alive[hash] = struct{}{}
	}
	for _, m := range t.members {
		if m.Datacentre != beat.GetDatacentre() || m.State == Leaving {
			continue
		}
		if _, ok := alive[incarnationHash(m.Incarnation)]; ok {
			heard := *m
			heard.LastHeard, heard.State = now, Live
			t.put(heard)
		}
	}
}

// Load takes a load report in that this instance read from an endpoint.
func (t *Table) Load(now time.Time, endpoint string, report engine.LoadReport) {
	t.putLoad(endpoint, report, now)
}

// putLoad keeps the newer of two reports.
func (t *Table) putLoad(endpoint string, report engine.LoadReport, at time.Time) {
	old, ok := t.endpoints[endpoint]
	if !ok || !at.After(old.LoadAt) {
		return
	}
	e := *old
	e.Load, e.LoadAt = report, at
	t.putEndpoint(e)
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
