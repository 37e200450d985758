package invariant

import (
	"log/slog"
	"sync"

	"knapweedhoist/timeline"
)

// Reporter counts violations, logs them as errors and records them on the timeline.
type Reporter struct {
	lg       *slog.Logger
	recorder timeline.Recorder

	mu     sync.Mutex // guards counts
	counts map[string]int64
}

// NewReporter returns a Reporter that logs to lg and records on recorder.
func NewReporter(lg *slog.Logger, recorder timeline.Recorder) *Reporter {
	return &Reporter{lg: lg, recorder: recorder, counts: make(map[string]int64)}
}

// Violated implements Checker.
func (r *Reporter) Violated(v Violation) {
	r.mu.Lock()
	r.counts[v.Name]++
	r.mu.Unlock()
	r.lg.Error("invariant violated",
		"invariant", v.Name, "step", v.Step, "peer", v.Peer, "request", v.Request, "detail", v.Detail)
	r.recorder.Record(timeline.Event{
		Kind: timeline.KindInvariant, Request: v.Request, Peer: v.Peer, Step: v.Step, Detail: v.Name + ": " + v.Detail,
	})
}

// Counts returns the number of violations by invariant name.
func (r *Reporter) Counts() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64, len(r.counts))
	for name, n := range r.counts {
		counts[name] = n
	}
	return counts
}
