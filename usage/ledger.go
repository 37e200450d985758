package usage

import (
	"sync"
	"time"
)

// Source identifies one process start of one instance.
type Source struct {
	Instance string
	Boot     uint64
}

// Counts is the number of requests by team.
type Counts map[string]int

// retainedWindows is the number of windows kept before the newest one; the total
// of a window is submitted within two windows of its end.
const retainedWindows = 6

// Ledger holds the counts of all instances by window and Source.
type Ledger struct {
	// length is the length of a window.
	length time.Duration
	// self is the Source of this process.
	self Source

	mu      sync.Mutex // guards windows and the counts in it
	windows map[int64]map[Source]Counts
}

// reportedWindows is the number of windows, up to the current one, whose counts an instance reports to the others.
const reportedWindows = 4

// NewLedger returns an empty Ledger for windows of the given length. self is the Source of this process.
func NewLedger(length time.Duration, self Source) *Ledger {
	return &Ledger{length: length, self: self, windows: make(map[int64]map[Source]Counts)}
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
	l.counts(l.Window(wall), l.self)[team]++
}

// counts returns the counts of a source in a window, which it creates if necessary. A new window deletes those that
// retainedWindows no longer covers. The caller holds mu.
func (l *Ledger) counts(window int64, source Source) Counts {
	sources := l.windows[window]
	if sources == nil {
		sources = make(map[Source]Counts)
		l.windows[window] = sources
		l.deleteBefore(window - retainedWindows)
	}
	counts := sources[source]
	if counts == nil {
		counts = make(Counts)
		sources[source] = counts
	}
	return counts
}

func (l *Ledger) deleteBefore(oldest int64) {
	for window := range l.windows {
		if window < oldest {
			delete(l.windows, window)
		}
	}
}

// LocalCounts returns a copy of this instance's counts of the last reportedWindows windows.
func (l *Ledger) LocalCounts(wall time.Time) map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.Window(wall)
	local := make(map[int64]Counts)
	for window, sources := range l.windows {
		if counts := sources[l.self]; counts != nil && window > current-reportedWindows {
			local[window] = cloneCounts(counts)
		}
	}
	return local
}

func cloneCounts(counts Counts) Counts {
	clone := make(Counts, len(counts))
	for team, n := range counts {
		clone[team] = n
	}
	return clone
}

// Merge merges the counts reported by another instance. Reports can arrive out of order; counts only grow, so the
// higher one is the newer one.
func (l *Ledger) Merge(source Source, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, counts := range windows {
		merged := l.counts(window, source)
		for team, n := range counts {
			merged[team] = max(merged[team], n)
		}
	}
}

// Total returns the counts of a window over all instances.
func (l *Ledger) Total(window int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := make(Counts)
	for _, counts := range l.windows[window] {
		for team, n := range counts {
			total[team] += n
		}
	}
	return total
}
