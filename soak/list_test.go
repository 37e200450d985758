package soak

import (
	"time"

	"knapweedhoist/membership"
)

// maxListLag is the longest lag of the list.
const maxListLag = 8 * time.Second

// list is the lagging list of the platform.
type list struct {
	w      *world
	states []listState
}

type listState struct {
	at      time.Time
	entries []membership.Entry
}

// record notes the present fleet; later reads show it after the lag.
func (l *list) record() {
	var entries []membership.Entry
	for _, in := range l.w.instances {
		if !in.dead {
			entries = append(entries, membership.Entry{
				ID: in.id, Incarnation: in.incarnation, Kind: membership.KindEntry, Datacentre: in.dc,
				Address: in.address, Leaving: in.leaving,
			})
		}
	}
	for _, e := range l.w.endpoints {
		if !e.gone {
			entries = append(entries, e.entry())
		}
	}
	for len(l.states) > 1 && l.w.now.Sub(l.states[1].at) > maxListLag {
		l.states = l.states[1:]
	}
	l.states = append(l.states, listState{at: l.w.now, entries: entries})
}

// read returns a state of the list that is up to the lag old.
func (l *list) read(now time.Time) []membership.Entry {
	at := now.Add(-time.Duration(l.w.rng.Int63n(int64(maxListLag))))
	read := l.states[0]
	for _, state := range l.states {
		if !state.at.After(at) {
			read = state
		}
	}
	return read.entries
}
