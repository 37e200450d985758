package capacity

import "time"

// DemandWindow is a sliding-window maximum of the demand for one service, over PeakWindow in buckets of one minute. The
// holder of the lease "capacity" owns it. A new holder starts with an empty one and must not drain instances before a
// PeakWindow has passed (see Full).
type DemandWindow struct {
	bucketMinutes [peakMinutes]int64 // start of each bucket in minutes since the epoch
	bucketPeaks   [peakMinutes]float64
	firstObserved time.Time
}

// PeakWindow is the length of the window, which includes the current minute.
const PeakWindow = peakMinutes * time.Minute

const peakMinutes = 10

// Observe records the demand at the time now.
func (w *DemandWindow) Observe(now time.Time, demand float64) {
	if w.firstObserved.IsZero() {
		w.firstObserved = now
	}
	minute := now.Unix() / 60
	slot := minute % peakMinutes
	if w.bucketMinutes[slot] != minute {
		w.bucketMinutes[slot] = minute
		w.bucketPeaks[slot] = 0
	}
	w.bucketPeaks[slot] = max(w.bucketPeaks[slot], demand)
}

// Peak returns the largest demand of the window.
func (w *DemandWindow) Peak(now time.Time) float64 {
	minute := now.Unix() / 60
	peak := 0.0
	for slot, at := range w.bucketMinutes {
		if minute-at < peakMinutes {
			peak = max(peak, w.bucketPeaks[slot])
		}
	}
	return peak
}

// Full reports whether PeakWindow has passed since the first observation, so that instances may be drained by Peak.
func (w *DemandWindow) Full(now time.Time) bool {
	return !w.firstObserved.IsZero() && now.Sub(w.firstObserved) >= PeakWindow
}
