package standin

import (
	"time"

	"knapweedhoist/engine"
)

const (
	// loadSpacing is the resolution of past load.
	loadSpacing = 10 * time.Millisecond
	// maxLoadSamples bounds the samples of past load, 40 s and more.
	maxLoadSamples = 4096
)

// loadHistory remembers past load, so that reports can lag. Its owner
// serialises the calls.
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

// at returns the load at a past time.
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
