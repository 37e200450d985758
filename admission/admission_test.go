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

// The properties run with a fixed seed; -rapid.seed on the command line overrides it.
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
	It("guards against a team's long answers that keep the class of short work", func() {
		e := admission.NewEstimator(admission.DefaultConfig())
		Expect(e.Estimate("s", "t", 100, 0).Class).To(Equal(admission.ClassShort))
		for range 40 {
			e.Observe("s", "t", 100, 900)
		}
		got := e.Estimate("s", "t", 100, 0)
		Expect(got.Class).To(Equal(admission.ClassLong))
		Expect(got.Priority).To(Equal(engine.PriorityLong))
		Expect(e.Estimate("s", "other", 100, 0).Class).To(Equal(admission.ClassShort))
		Expect(e.Estimate("s", "t", 100, 50).DecodeTokens).To(Equal(50))
	})
})

var _ = Describe("Controller", func() {
	It("guards against shedding work that fits, and against a Retry-After that is too early, unbounded or shared", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cfg := admission.DefaultConfig()
			c := admission.NewController(cfg)
			last := time.Duration(0)
			ms := func(name string, high int) time.Duration {
				return time.Duration(rapid.IntRange(0, high).Draw(t, name)) * time.Millisecond
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
				early := min(cfg.MaxRetryAfter, excess)
				if d.RetryAfter < early || d.RetryAfter > cfg.MaxRetryAfter {
					t.Fatalf("retry after %v, expected from %v", d.RetryAfter, early)
				}
				if d.RetryAfter <= last && d.RetryAfter < cfg.MaxRetryAfter {
					t.Fatalf("two retries at %v", d.RetryAfter)
				}
				last = d.RetryAfter
			}
		})
	})
})
