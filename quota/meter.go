package quota

import (
	"math"
	"time"
)

// meter estimates a rate with an exponentially decaying sum.
type meter struct {
	sum float64
	at  time.Time
}

// meterTau is the time constant of the estimate.
const meterTau = 10 * time.Second

func (m *meter) add(now time.Time, n float64) {
	m.sum = m.decayed(now) + n
	m.at = now
}

func (m *meter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterTau.Seconds())
}

func (m *meter) rate(now time.Time) float64 {
	return m.decayed(now) / meterTau.Seconds()
}
