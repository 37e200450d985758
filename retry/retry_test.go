package retry_test

import (
	"flag"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/retry"
)

// The property tests run with a fixed seed; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Policy", func() {
	It("guards against more than 1.1 attempts or 0.05 hedges per request in any mix of successes and failures", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p := retry.NewPolicy(retry.DefaultConfig(), rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
			requests, attempts, hedges := 0, 0, 0
			for range rapid.IntRange(1, 400).Draw(t, "requests") {
				requests++
				attempts++
				a := retry.Attempt{
					Service: "s", Number: 1, Repeatable: true, Idempotent: true, Short: true, Deadline: start.Add(time.Minute),
				}
				if rapid.IntRange(0, 3).Draw(t, "slow") == 0 && p.AllowHedge(a) {
					attempts++
					hedges++
				}
				for rapid.Bool().Draw(t, "fails") {
					if _, err := p.Next(start, a); err != nil {
						break
					}
					attempts++
					a.Number++
				}
				if rapid.Bool().Draw(t, "succeeds") {
					p.RecordSuccess("s")
				}
				if float64(attempts) > 1.1*float64(requests) || float64(hedges) > 0.05*float64(requests) {
					t.Fatalf("%d attempts and %d hedges for %d requests", attempts, hedges, requests)
				}
			}
		})
	})

	It("guards against cutting off a stream that delivered tokens because the retry budget is empty", func() {
		p := retry.NewPolicy(retry.DefaultConfig(), rand.New(rand.NewSource(1)))
		broken := retry.Attempt{Service: "s", Number: 1, Repeatable: true, Deadline: start.Add(time.Minute)}
		_, err := p.Next(start, broken)
		Expect(err).To(MatchError(retry.ErrBudgetExhausted))
		broken.DeliveredTokens = true
		_, err = p.Next(start, broken)
		Expect(err).NotTo(HaveOccurred())
		broken.Number = retry.DefaultConfig().MaxAttempts
		_, err = p.Next(start, broken)
		Expect(err).To(MatchError(retry.ErrMaxAttempts))
	})

	It("guards against retrying or hedging a call that is not repeatable, and against a retry after the deadline", func() {
		p := retry.NewPolicy(retry.DefaultConfig(), rand.New(rand.NewSource(1)))
		for range 200 {
			p.RecordSuccess("s")
		}
		_, err := p.Next(start, retry.Attempt{Service: "s", Number: 1, ReclaimAnnounced: true, Deadline: start.Add(time.Minute)})
		Expect(err).To(MatchError(retry.ErrNotRepeatable))
		Expect(p.AllowHedge(retry.Attempt{Service: "s", Number: 1, Short: true})).To(BeFalse())
		_, err = p.Next(start, retry.Attempt{
			Service: "s", Number: 1, Repeatable: true, RetryAfter: time.Second, Deadline: start.Add(time.Second / 2),
		})
		Expect(err).To(MatchError(retry.ErrDeadlineExceeded))
	})
})
