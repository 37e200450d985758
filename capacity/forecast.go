package capacity

import "time"

// Forecast keeps the largest demand of the last PeakWindow in one-minute
// buckets. The holder of the lease owns it; a new holder starts empty and
// must not drain before one PeakWindow has passed (see Ready).
type Forecast struct {
	minutes [peakMinutes]int64
	peaks   [peakMinutes]float64
	since   time.Time
}

// PeakWindow is the time over which the largest demand counts.
const PeakWindow = peakMinutes * time.Minute

const peakMinutes = 10

// Observe merges the demand now.
func (f *Forecast) Observe(now time.Time, demand float64) {
	if f.since.IsZero() {
		f.since = now
	}
	minute := now.Unix() / 60
	slot := minute % peakMinutes
	if f.minutes[slot] != minute {
		f.minutes[slot] = minute
		f.peaks[slot] = 0
	}
	f.peaks[slot] = max(f.peaks[slot], demand)
}

// Peak returns the largest demand of the window.
func (f *Forecast) Peak(now time.Time) float64 {
	minute := now.Unix() / 60
	peak := 0.0
	for slot, at := range f.minutes {
		if minute-at < peakMinutes {
			peak = max(peak, f.peaks[slot])
		}
	}
	return peak
}

// Ready reports whether the window is full, so that its peak may be used to drain.
func (f *Forecast) Ready(now time.Time) bool {
	return !f.since.IsZero() && now.Sub(f.since) >= PeakWindow
}
