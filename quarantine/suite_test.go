package quarantine

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "quarantine")
}

// start is the time at which tests begin.
var start = time.Unix(1000, 0)

// Parts of the prompts in these tests.
const (
	crashing, first, other uint64 = 1, 2, 3
)

// crashes notes n crashes, 100 ms apart, at which requests with the given parts were in progress.
func crashes(g *Guard, at time.Time, n int, requests ...[]uint64) time.Time {
	for range n {
		at = at.Add(100 * time.Millisecond)
		for _, parts := range requests {
			g.RecordCrash(at, uint64(at.UnixNano()), parts)
		}
	}
	return at
}

// refuses reports whether g refuses a request with the part at the given time.
func refuses(g *Guard, now time.Time, part uint64) bool {
	return g.Admit(now, []uint64{part}) != nil
}
