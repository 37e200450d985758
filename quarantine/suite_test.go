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
	crashing, first, other Key = 1, 2, 3
)

// with returns a request with the given parts whose own key no other one has in common with it.
func with(parts ...Key) Request { return Request{Parts: parts} }

// crashes notes n crashes, 100 ms apart, at which requests with the given parts were in progress.
func crashes(g *Guard, at time.Time, n int, requests ...Request) time.Time {
	for range n {
		at = at.Add(100 * time.Millisecond)
		for _, request := range requests {
			g.RecordCrash(at, uint64(at.UnixNano()), request)
		}
	}
	return at
}

// refuses reports whether g refuses a request with the part at the given time.
func refuses(g *Guard, now time.Time, part Key) bool {
	return g.Admit(now, with(part)) != nil
}
