package standin

import (
	"time"

	"knapweedhoist/engine"
)

const (
	// loadSpacing is the minimum time between two load samples.
	loadSpacing = 10 * time.Millisecond
	// maxLoadSamples is the number of newest samples always retained; they span at least 40 s.
	maxLoadSamples = 4096
)

// loadHistory stores load samples, so that reports can lag. It is not safe for
// concurrent use.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at     time.Time
	report engine.LoadReport
}

func (h *loadHistory) add(now time.Time, report engine.LoadReport) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < loadSpacing {
		h.samples[n-1].report = report
		return
	}
	h.samples = append(h.samples, loadSample{at: now, report: report})
	if len(h.samples) > 2*maxLoadSamples {
		h.samples = append([]loadSample(nil), h.samples[maxLoadSamples:]...)
	}
}

// at returns the latest sample taken no later than when.
func (h *loadHistory) at(when time.Time) engine.LoadReport {
	var report engine.LoadReport
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(when) {
			report = h.samples[i].report
			break
		}
	}
	report.AtMs = when.UnixMilli()
	return report
}
