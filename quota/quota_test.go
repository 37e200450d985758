package quota_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/quota"
)

// init fixes the seed of the property tests; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// usedGrants holds the last grant that reached each member.
type usedGrants map[string]quota.Grant

// totalRate returns the rate that all members together can be using.
func (u usedGrants) totalRate(now time.Time, members int, cfg quota.Config, limit float64) float64 {
	total := 0.0
	for i := range members {
		rate := cfg.Floor(limit)
		if g, ok := u[member(i)]; ok && now.Before(g.Until) {
			rate = g.Rate
		}
		total += rate
	}
	return total
}

func member(i int) string { return fmt.Sprintf("m%d", i) }

var _ = Describe("Divider", func() {
	It("guards against members that together exceed the limit when grants or acknowledgements are lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			members := rapid.IntRange(1, 6).Draw(t, "members")
			cfg := quota.DefaultConfig(members)
			d := quota.NewDivider(cfg)
			now, limit, using := start, 1000.0, usedGrants{}
			for range 40 {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				var demands []quota.Demand
				for i := range members {
					demands = append(demands, quota.Demand{Member: member(i), Rate: float64(rapid.IntRange(0, 3000).Draw(t, "rate"))})
				}
				for _, g := range d.Divide(now, quota.FixedLimit(limit), demands) {
					if rapid.Bool().Draw(t, "arrives") {
						using[g.Member] = g
						if rapid.Bool().Draw(t, "acknowledged") {
							d.Ack(g.Member, g.Sequence)
						}
					}
				}
				if total := using.totalRate(now, members, cfg, limit); total > limit*(1+1e-9) {
					t.Fatalf("members can use %.3f/s of a limit of %.0f/s", total, limit)
				}
			}
		})
	})

	It("guards against instances that together exceed the limit when grants to data centres or instances are lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit, datacentres, instances = 1000.0, 3, 2
			top, inner := quota.DefaultConfig(datacentres), quota.DefaultConfig(instances)
			owner := quota.NewDivider(top)
			floor := top.Floor(limit)
			var dividers [datacentres]*quota.Divider
			var shares [datacentres]quota.Grant
			var using [datacentres]usedGrants
			for dc := range datacentres {
				dividers[dc], using[dc] = quota.NewDivider(inner), usedGrants{}
				shares[dc] = quota.Grant{Rate: floor, Floor: floor}
			}
			draw := func(n int) []quota.Demand {
				var list []quota.Demand
				for i := range n {
					list = append(list, quota.Demand{Member: member(i), Rate: float64(rapid.IntRange(0, 2000).Draw(t, "rate"))})
				}
				return list
			}
			now := start
			for range 30 {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				total := 0.0
				for dc, g := range owner.Divide(now, quota.FixedLimit(limit), draw(datacentres)) {
					reached := rapid.Bool().Draw(t, "reached")
					if reached {
						shares[dc] = g
					}
					demands := draw(instances)
					for _, inst := range dividers[dc].Divide(now, shares[dc].Share(now), demands) {
						if rapid.Bool().Draw(t, "arrives") {
							using[dc][inst.Member] = inst
							if rapid.Bool().Draw(t, "acknowledged") {
								dividers[dc].Ack(inst.Member, inst.Sequence)
							}
						}
					}
					if reached && dividers[dc].Fits(now, shares[dc].Share(now), demands) {
						owner.Ack(g.Member, g.Sequence)
					}
				}
				for dc := range datacentres {
					total += using[dc].totalRate(now, instances, inner, floor)
				}
				if total > limit*(1+1e-6) {
					t.Fatalf("instances can use %.3f/s of a limit of %.0f/s", total, limit)
				}
			}
		})
	})

	It("guards against shares that do not add up to the limit when all grants are acknowledged", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			members := rapid.IntRange(1, 6).Draw(t, "members")
			cfg := quota.DefaultConfig(members)
			d := quota.NewDivider(cfg)
			var demands []quota.Demand
			for i := range members {
				demands = append(demands, quota.Demand{Member: member(i), Rate: float64(rapid.IntRange(0, 3000).Draw(t, "rate"))})
			}
			sum := 0.0
			for round := range 3 {
				sum = 0
				for _, g := range d.Divide(start.Add(time.Duration(round)*time.Second), quota.FixedLimit(1000), demands) {
					d.Ack(g.Member, g.Sequence)
					sum += g.Rate
				}
			}
			if math.Abs(sum-1000) > 1e-6 {
				t.Fatalf("shares add up to %f instead of 1000", sum)
			}
		})
	})

	It("guards against a new owner that grants more than floors before the former owner's grants have expired", func() {
		cfg := quota.DefaultConfig(2)
		d := quota.NewDivider(cfg)
		d.TakeOver(start, 2)
		demands := []quota.Demand{{Member: "m0", Rate: 900}, {Member: "m1", Rate: 900}}
		for _, g := range d.Divide(start.Add(cfg.TTL-1), quota.FixedLimit(1000), demands) {
			Expect(g.Rate).To(Equal(cfg.Floor(1000)))
		}
	})
})

var _ = Describe("FairShares", func() {
	It("guards against shares above the amount or the demand, unfair shares, and unused capacity", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var claimants []quota.Claimant
			demand := 0.0
			for range rapid.IntRange(1, 8).Draw(t, "n") {
				c := quota.Claimant{Weight: float64(rapid.IntRange(1, 9).Draw(t, "weight")), Demand: float64(rapid.IntRange(0, 500).Draw(t, "demand"))}
				claimants = append(claimants, c)
				demand += c.Demand
			}
			sum := 0.0
			shares := quota.FairShares(1000, claimants)
			for i, s := range shares {
				sum += s
				if s > claimants[i].Demand+1e-6 {
					t.Fatalf("share %f exceeds the demand %f", s, claimants[i].Demand)
				}
				for j, other := range shares {
					if s < claimants[i].Demand-1e-6 && s/claimants[i].Weight < other/claimants[j].Weight-1e-6 {
						t.Fatalf("claimant %d, whose demand is not met, gets less per weight than claimant %d", i, j)
					}
				}
			}
			if math.Abs(sum-min(1000, demand)) > 1e-6 {
				t.Fatalf("shares add up to %f instead of %f", sum, min(1000, demand))
			}
		})
	})
})

var _ = Describe("Limiter", func() {
	It("guards against a negative budget or debt, and against charges that exceed the granted rate by more than one second and one call", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := quota.NewLimiter()
			now, taken := start, 0.0
			g := &quota.Grant{Rate: 100, Floor: 10, Until: start.Add(time.Hour)}
			l.SetGrants(now, "t", g, nil)
			for range 60 {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				expected, used := rapid.IntRange(1, 150).Draw(t, "expected"), rapid.IntRange(1, 150).Draw(t, "used")
				if ok, after := l.Allow(now, "t", expected); ok {
					l.CorrectCharge(now, "t", expected, used)
					taken += float64(used)
				} else if after <= 0 {
					t.Fatalf("refused without a Retry-After")
				}
				if budget, debt := l.Budget("t"); budget < 0 || debt < 0 {
					t.Fatalf("budget %f, debt %f", budget, debt)
				}
				// One call can be larger than the budget and become debt.
				if limit := 100*(now.Sub(start).Seconds()+1) + 150; taken > limit+1e-6 {
					t.Fatalf("took %f tokens of at most %f", taken, limit)
				}
			}
		})
	})
})

var _ = Describe("Limiter with reordered grants", func() {
	It("guards against a delayed grant of the same or a former owner that replaces a newer one", func() {
		l := quota.NewLimiter()
		until := start.Add(time.Hour)
		Expect(l.SetGrants(start, "t", &quota.Grant{Fence: 2, Sequence: 5, Rate: 100, Until: until}, nil)).To(BeTrue())
		Expect(l.SetGrants(start, "t", &quota.Grant{Fence: 2, Sequence: 4, Rate: 900, Until: until}, nil)).To(BeFalse())
		Expect(l.SetGrants(start, "t", &quota.Grant{Fence: 1, Sequence: 9, Rate: 900, Until: until}, nil)).To(BeFalse())
		Expect(l.SetGrants(start, "t", &quota.Grant{Fence: 3, Sequence: 1, Rate: 900, Until: until}, nil)).To(BeTrue())
	})
})

var _ = Describe("Limiter after an idle time", func() {
	It("guards against refusals although all debt is repaid and all reservations have expired", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := quota.NewLimiter()
			now := start
			g := &quota.Grant{Rate: float64(rapid.IntRange(1, 5000).Draw(t, "rate")), Until: start.Add(time.Hour)}
			l.SetGrants(now, "t", g, nil)
			taken := 0.0
			for range rapid.IntRange(0, 50).Draw(t, "calls") {
				n := rapid.IntRange(1, 8000).Draw(t, "tokens")
				if ok, _ := l.Allow(now, "t", n); ok {
					taken += float64(n)
				}
			}
			// By then all debt is repaid, and the times of all reservations have passed.
			now = now.Add(time.Duration(taken/g.Rate*float64(time.Second)) + 15*time.Second)
			if ok, after := l.Allow(now, "t", rapid.IntRange(1, 8000).Draw(t, "last")); !ok {
				t.Fatalf("refused with a Retry-After of %v", after)
			}
		})
	})
})

var _ = Describe("Gate", func() {
	It("guards against a delayed message with an earlier time that opens the gate early", func() {
		g := quota.NewGate()
		closedUntil := g.RecordRefusal(start, "weights", 10*time.Second)
		g.Merge(start, "weights", start.Add(5*time.Second))
		until, closed := g.Closed(start.Add(9*time.Second), "weights")
		Expect(closed).To(BeTrue())
		Expect(until).To(Equal(closedUntil))
		_, closed = g.Closed(start.Add(10*time.Second), "weights")
		Expect(closed).To(BeFalse())
	})
})
