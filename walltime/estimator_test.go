package walltime

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWalltime(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "walltime")
}

var _ = Describe("Estimator", func() {
	now := time.Unix(1<<30, 0)
	truth := time.Unix(2_000_000_000, 0)

	// A wrong time of day would count usage in the wrong windows.
	It("guards against an estimate that follows a wall clock that jumps when two of four, this machine's included, jump in opposite directions", func() {
		e := NewEstimator("a")
		e.Observe(now, "b", truth)
		e.Observe(now, "c", truth.Add(time.Millisecond))
		e.Observe(now, "d", truth.Add(-3*time.Second))
		wall := e.WallTime(now, truth.Add(2400*time.Millisecond))
		Expect(wall).To(BeTemporally("~", truth, 2*time.Millisecond))
	})

	It("guards against the use of clock readings of instances that no longer report", func() {
		e := NewEstimator("a")
		e.Observe(now, "b", truth.Add(time.Hour))
		later := now.Add(6 * time.Second)
		Expect(e.WallTime(later, truth)).To(Equal(truth))
	})
})
