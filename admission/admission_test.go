package admission_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/admission"
	"knapweedhoist/engine"
)

// init sets a fixed seed for the property tests. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Estimator", func() {
	It("guards against the short class for requests of a team whose outputs are long", func() {
		e := admission.NewEstimator(admission.DefaultConfig())
		Expect(e.Estimate("s", "t", 100, 0).Class).To(Equal(admission.ClassShort))
		for range 40 {
			e.Observe("s", "t", 100, 900)
		}
		got := e.Estimate("s", "t", 100, 0)
		Expect(got.Class).To(Equal(admission.ClassLong))
		Expect(got.Priority).To(Equal(engine.PriorityLong))
		Expect(e.Estimate("s", "other", 100, 0).Class).To(Equal(admission.ClassShort))
		Expect(e.Estimate("s", "t", 100, 50).OutputTokens).To(Equal(50))
	})
})

var _ = Describe("Controller", func() {
	It("guards against shedding requests that fit, and against a Retry-After that is too early, unbounded or given twice", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cfg := admission.DefaultConfig()
			c := admission.NewController(cfg)
			previous := time.Duration(0)
			ms := func(name string, maxMs int) time.Duration {
				return time.Duration(rapid.IntRange(0, maxMs).Draw(t, name)) * time.Millisecond
			}
			deadline := start.Add(ms("deadline", 60000))
			p := admission.Prediction{FirstToken: ms("first", 20000), Cost: time.Millisecond}
			p.Total = p.FirstToken + ms("decode", 90000)
			estimate := admission.Estimate{Class: admission.ClassLong}
			for range 20 {
				d := c.Decide(start, deadline, "s", estimate, p)
				needed := time.Duration(float64(p.Total) * cfg.Margin)
				excess := max(needed-deadline.Sub(start), p.FirstToken-cfg.LongWait)
				if d.Admit != (excess <= 0) {
					t.Fatalf("admitted %v with an excess of %v", d.Admit, excess)
				}
				if d.Admit {
					continue
				}
				earliest := min(cfg.MaxRetryAfter, excess)
				if d.RetryAfter < earliest || d.RetryAfter > cfg.MaxRetryAfter {
					t.Fatalf("RetryAfter is %v, want at least %v and at most MaxRetryAfter", d.RetryAfter, earliest)
				}
				if d.RetryAfter <= previous && d.RetryAfter < cfg.MaxRetryAfter {
					t.Fatalf("RetryAfter %v is not later than the previous one", d.RetryAfter)
				}
				previous = d.RetryAfter
			}
		})
	})
})
