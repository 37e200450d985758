package usage

import (
	"sync"
	"time"

	"knapweedhoist/fleetstate"
)

// Counts is the number of requests by team.
type Counts map[string]int

// Ledger holds the counts of this instance by window, and adds those of the others to them.
type Ledger struct {
	// length is the length of a window.
	length time.Duration
	// elsewhere returns the requests of a window that started at other instances.
	elsewhere func(window int64) map[string]float64

	mu  sync.Mutex // guards own
	own fleetstate.Table
}

// NewLedger returns an empty Ledger for windows of the given length. elsewhere returns the requests of a window that
// started at other instances, by team.
func NewLedger(length time.Duration, elsewhere func(window int64) map[string]float64) *Ledger {
	return &Ledger{length: length, elsewhere: elsewhere, own: make(fleetstate.Table)}
}

// Window returns the index of the window that contains the wall time, counted from the Unix epoch.
func (l *Ledger) Window(wall time.Time) int64 {
	return wall.UnixNano() / int64(l.length)
}

// WindowEnd returns the end time of a window.
func (l *Ledger) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(l.length))
}

// RecordStart counts a request of the team that is known to have started to run, in the window of the wall time.
func (l *Ledger) RecordStart(wall time.Time, team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.Add(team, l.Window(wall), 1)
}

// Own returns a copy of this instance's counts of the last windows that are reported.
func (l *Ledger) Own(wall time.Time) fleetstate.Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own.From(l.Window(wall) - fleetstate.ReportedWindows + 1)
}

// Total returns the counts of a window over all instances.
func (l *Ledger) Total(window int64) Counts {
	total := make(Counts)
	for team, n := range l.elsewhere(window) {
		total[team] += int(n)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for team := range l.own {
		if n := l.own.At(team, window); n > 0 {
			total[team] += int(n)
		}
	}
	return total
}
