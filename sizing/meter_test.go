package sizing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Meter", func() {
	start := time.Unix(1000, 0)

	// Guards against orders for endpoints that are not needed: in fleetbench zapateo-ops trouble-2 the holder of the duties
	// was paused by node_freeze, then read seven seconds of reports at once, took their totals for a burst and ordered 24
	// endpoints.
	It("uses the newest rate of an instance whose reports arrive all at once", func() {
		meter, estimator := NewMeter(), NewRateEstimator()
		now := start
		for i := range int64(200) {
			now = now.Add(100 * time.Millisecond)
			rates := estimator.Observe(now, map[string]int64{"s": i * 1000})
			meter.Observe(start.Add(time.Minute), "peer", rates)
		}
		Expect(meter.Rate(start.Add(time.Minute), "s")).To(BeNumerically("~", 10_000, 100))
	})

	// Guards against counting the rates of an instance that no longer reports.
	It("sums the rates of the instances that reported within the last 5 s", func() {
		meter := NewMeter()
		meter.Observe(start, "silent", map[string]float64{"s": 500})
		meter.Observe(start.Add(5*time.Second), "a", map[string]float64{"s": 10, "other": 7})
		meter.Observe(start.Add(5*time.Second), "b", map[string]float64{"s": 20})
		Expect(meter.Rate(start.Add(5001*time.Millisecond), "s")).To(Equal(30.0))
	})
})
