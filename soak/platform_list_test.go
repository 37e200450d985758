package soak

import (
	"time"

	"knapweedhoist/membership"
)

// maxListLag is the longest lag of the platform's list behind the fleet.
const maxListLag = 8 * time.Second

// platformList is the platform's list of instances and endpoints, which lags behind the fleet.
type platformList struct {
	w         *world
	snapshots []listSnapshot
}

// listSnapshot is the list at a point of time.
type listSnapshot struct {
	at      time.Time
	entries []membership.Entry
}

// record takes a snapshot of the current fleet. Reads within the next maxListLag can still return an older one.
func (l *platformList) record() {
	var entries []membership.Entry
	for _, in := range l.w.instances {
		if !in.ended {
			entries = append(entries, membership.Entry{
				ID: in.id, Incarnation: in.incarnation, Kind: membership.KindEntry, Datacentre: in.dc,
				Address: in.address, Leaving: in.leaving,
			})
		}
	}
	for _, e := range l.w.endpoints {
		if !e.ended {
			entries = append(entries, e.entry())
		}
	}
	for len(l.snapshots) > 1 && l.w.now.Sub(l.snapshots[1].at) > maxListLag {
		l.snapshots = l.snapshots[1:]
	}
	l.snapshots = append(l.snapshots, listSnapshot{at: l.w.now, entries: entries})
}

// read returns the list as it was at a random time within the last maxListLag.
func (l *platformList) read(now time.Time) []membership.Entry {
	at := now.Add(-time.Duration(l.w.rng.Int63n(int64(maxListLag))))
	newest := l.snapshots[0]
	for _, snapshot := range l.snapshots {
		if !snapshot.at.After(at) {
			newest = snapshot
		}
	}
	return newest.entries
}
