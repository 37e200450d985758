package walltime

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/testutil"
)

// Guards against an estimate that is late because a message was read late: a restarted instance knows its own clock and the reading that
// an instance sent before a pause of seven seconds, or that was unread for as long.
var _ = Describe("Estimator with a message that was read late", func() {
	It("does not follow a reading that was on its way for seven seconds, while all wall clocks agree", func() {
		if !testutil.RunsKnownRed() {
			Skip("listed in KNOWN-RED.txt")
		}
		now, truth := time.Unix(1<<30, 0), time.Unix(2_000_000_000, 0)
		e := NewEstimator("a")
		e.Observe(now, "b", truth.Add(-7*time.Second))
		Expect(e.WallTime(now, truth)).To(BeTemporally("~", truth, time.Second))
	})
})
