package forward

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against endpoints that fail because all instances together let them reject too many requests.
func TestRejectionPause(t *testing.T) {
	g := NewWithT(t)
	g.Expect(rejectionPause(0, 8)).To(BeZero())
	g.Expect(rejectionPause(4, 8)).To(Equal(2 * time.Second))
	g.Expect(rejectionPause(4, 0)).To(Equal(250 * time.Millisecond))
	g.Expect(rejectionPause(0.01, 300)).To(Equal(maxRejectionPause))
	for _, instances := range []int{1, 7, 8, 20} {
		rejectionsPerSecond := float64(instances) / rejectionPause(3, instances).Seconds()
		g.Expect(rejectionsPerSecond).To(BeNumerically("<=", 3.001))
	}
}
