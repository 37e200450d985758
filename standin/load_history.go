package standin

import (
	"time"

	"knapweedhoist/engine"
)

const (
	// loadSampleInterval is the minimum time between two load samples. A report within
	// this time of the last sample replaces the report of that sample.
	loadSampleInterval = 10 * time.Millisecond
	// retainedLoadSamples is the number of newest samples always retained; they span at least 40 s.
	retainedLoadSamples = 4096
)

// loadHistory stores load samples, so that reports can lag. It is not safe for
// concurrent use.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	sampledAt time.Time
	report    engine.LoadReport
}

func (h *loadHistory) add(now time.Time, report engine.LoadReport) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].sampledAt) < loadSampleInterval {
		h.samples[n-1].report = report
		return
	}
	h.samples = append(h.samples, loadSample{sampledAt: now, report: report})
	if len(h.samples) > 2*retainedLoadSamples {
		h.samples = append([]loadSample(nil), h.samples[retainedLoadSamples:]...)
	}
}

// reportAt returns the report of the latest sample taken no later than when, or an empty
// report if there is none, with AtMs set to when.
func (h *loadHistory) reportAt(when time.Time) engine.LoadReport {
	var report engine.LoadReport
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].sampledAt.After(when) {
			report = h.samples[i].report
			break
		}
	}
	report.AtMs = when.UnixMilli()
	return report
}
