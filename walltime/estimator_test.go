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

	// Guards against usage in wrong windows while the clocks of a minority jump.
	It("ignores the clocks of a minority, its own among them", func() {
		e := NewEstimator("a")
		e.Observe(now, "b", truth)
		e.Observe(now, "c", truth.Add(time.Millisecond))
		e.Observe(now, "d", truth.Add(-3*time.Second))
		wall := e.Wall(now, truth.Add(2400*time.Millisecond))
		Expect(wall).To(BeTemporally("~", truth, 2*time.Millisecond))
	})

	It("forgets instances that are silent", func() {
		e := NewEstimator("a")
		e.Observe(now, "b", truth.Add(time.Hour))
		later := now.Add(6 * time.Second)
		Expect(e.Wall(later, truth)).To(Equal(truth))
	})
})
