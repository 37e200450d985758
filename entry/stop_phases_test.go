package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("newStopPhases", func() {
	// Guards against a stop that is killed before it has closed its listener or answered its requests, and against requests
	// that are accepted when most of the grace period is over.
	It("orders the phases within every grace period", func() {
		for grace := time.Duration(0); grace <= 30*time.Second; grace += 100 * time.Millisecond {
			p := newStopPhases(grace)
			Expect(p.refuse).To(BeNumerically("<=", p.close))
			Expect(p.refuse).To(BeNumerically("<=", grace/2))
			Expect(p.close).To(BeNumerically("<=", p.cut))
			Expect(p.cut).To(BeNumerically("<=", p.exit))
			Expect(p.exit).To(BeNumerically("<=", grace))
		}
	})

	// Guards against requests that are cut although the platform would let them run on.
	It("cuts requests in the last sixth of the grace period", func() {
		for grace := 100 * time.Millisecond; grace <= 30*time.Second; grace += 100 * time.Millisecond {
			Expect(newStopPhases(grace).cut).To(BeNumerically(">=", grace*5/6))
		}
	})
})
