package usage

import (
	"sync"
	"time"
)

// Source is one start of one instance.
type Source struct {
	Instance string
	Boot     uint64
}

// Counts has the number of requests by team.
type Counts map[string]int

// keepWindows is the number of windows that are remembered; a window is
// reported within two windows of its end.
const keepWindows = 6

// Ledger has the counts of all instances.
type Ledger struct {
	length time.Duration
	self   Source

	mu      sync.Mutex
	windows map[int64]map[Source]Counts
}

// localWindows is the number of windows that an instance still tells the others of.
const localWindows = 4

// NewLedger returns an empty Ledger for windows of the given length.
func NewLedger(length time.Duration, self Source) *Ledger {
	return &Ledger{length: length, self: self, windows: make(map[int64]map[Source]Counts)}
}

// Window returns the number of the window that contains the wall time.
func (l *Ledger) Window(wall time.Time) int64 {
	return wall.UnixNano() / int64(l.length)
}

// End returns the end of a window.
func (l *Ledger) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(l.length))
}

// Begin counts a request that began to run.
func (l *Ledger) Begin(wall time.Time, team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts(l.Window(wall), l.self)[team]++
}

func (l *Ledger) counts(window int64, source Source) Counts {
	sources := l.windows[window]
	if sources == nil {
		sources = make(map[Source]Counts)
		l.windows[window] = sources
		l.forget(window - keepWindows)
	}
	counts := sources[source]
	if counts == nil {
		counts = make(Counts)
		sources[source] = counts
	}
	return counts
}

func (l *Ledger) forget(before int64) {
	for window := range l.windows {
		if window < before {
			delete(l.windows, window)
		}
	}
}

// Local returns this instance's counts of the windows that can still be reported.
func (l *Ledger) Local(wall time.Time) map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Window(wall)
	local := make(map[int64]Counts)
	for window, sources := range l.windows {
		if counts := sources[l.self]; counts != nil && window > now-localWindows {
			local[window] = copyOf(counts)
		}
	}
	return local
}

func copyOf(counts Counts) Counts {
	copied := make(Counts, len(counts))
	for team, n := range counts {
		copied[team] = n
	}
	return copied
}

// Observe takes in another instance's counts. Reports can arrive out of order; counts only grow.
func (l *Ledger) Observe(source Source, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, counts := range windows {
		known := l.counts(window, source)
		for team, n := range counts {
			known[team] = max(known[team], n)
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
