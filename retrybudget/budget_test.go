package retrybudget

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Budget", func() {
	cfg := Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	start := time.Unix(1000, 0)

	It("guards against exceeding the bound over all instances in an outage, when every send fails", func() {
		const instances, perSecond = 7, 5
		var budgets []*Budget
		for range instances {
			b := NewBudget(start, cfg)
			b.SetInstances(instances)
			budgets = append(budgets, b)
		}
		extras := 0
		for second := range 10 {
			now := start.Add(time.Duration(second) * time.Second)
			for _, b := range budgets {
				for range perSecond {
					b.RecordRequest(now, "s")
					if b.Take(now, "s") {
						extras++
					}
				}
			}
		}
		Expect(float64(extras)).To(BeNumerically("<=", cfg.Ratio*instances*perSecond*10+cfg.Slack))
		Expect(extras).To(BeNumerically(">", 0))
	})

	It("guards against one service using the budget of another", func() {
		b := NewBudget(start, Config{Ratio: 1, Slack: 2, Window: time.Second})
		Expect(b.Take(start, "a")).To(BeTrue())
		Expect(b.Take(start, "a")).To(BeFalse())
		Expect(b.Take(start, "b")).To(BeTrue())
	})

	It("guards against a budget that is used up by extra sends that were not made, and against one that grows by them", func() {
		b := NewBudget(start, Config{Ratio: 0, Slack: 2, Window: time.Second})
		Expect(b.Take(start, "a")).To(BeTrue())
		later := start.Add(500 * time.Millisecond)
		b.Return(later, start, "a")
		Expect(b.Take(later, "a")).To(BeTrue())
		b.Return(start.Add(1200*time.Millisecond), start, "a")
		Expect(b.Take(start.Add(1200*time.Millisecond), "a")).To(BeFalse())
		Expect(b.Take(start.Add(1700*time.Millisecond), "a")).To(BeTrue())
	})

	It("guards against an extra send that stops counting before the window has passed, or still counts long after it", func() {
		b := NewBudget(start, Config{Ratio: 0, Slack: 2, Window: time.Second})
		Expect(b.Take(start, "a")).To(BeTrue())
		Expect(b.Take(start.Add(990*time.Millisecond), "a")).To(BeFalse())
		Expect(b.Take(start.Add(1100*time.Millisecond), "a")).To(BeTrue())
	})
})

// TestSlidingWindow guards against a bound that holds only for some start times of
// the window.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		start := time.Unix(1000, 0)
		b := NewBudget(start, cfg)
		var requests, extras []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now, "s")
				requests = append(requests, now)
			}
			if b.Take(now, "s") {
				extras = append(extras, now)
			}
		}
		for i, first := range extras {
			count := 0
			for _, at := range extras[i:] {
				if at.Sub(first) < cfg.Window {
					count++
				}
			}
			// The requests in the window that ends at the first extra send count as well: Take considers them for the
			// earliest extra sends of this window.
			windowRequests := 0
			for _, at := range requests {
				if d := at.Sub(first); d > -cfg.Window && d < cfg.Window {
					windowRequests++
				}
			}
			if float64(count) > cfg.Ratio*float64(windowRequests)+cfg.Slack {
				t.Fatalf("%d extra sends in one window, with %d requests in it and in the window before", count, windowRequests)
			}
		}
	})
}

var _ = Describe("Budget when instances stop and start", func() {
	cfg := Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	start := time.Unix(1000, 0)

	// Half of the instances are stopped for four of ten seconds, then resumed or replaced. The others must not use the
	// stopped instances' part of the slack meanwhile, because a replacement starts with a full part again.
	DescribeTable("guards against exceeding the bound in one window",
		func(replace func(budgets []*Budget, now time.Time)) {
			const instances, perSecond = 8, 4
			budgets := make([]*Budget, instances)
			for n := range budgets {
				budgets[n] = NewBudget(start, cfg)
				budgets[n].SetInstances(instances)
			}
			requests, extras := 0, 0
			for second := range 10 {
				now := start.Add(time.Duration(second) * time.Second)
				running := budgets
				if second >= 3 && second < 7 {
					running = budgets[instances/2:]
				}
				if second == 7 {
					replace(budgets[:instances/2], now)
				}
				for _, b := range running {
					for range perSecond {
						requests++
						b.RecordRequest(now, "s")
						for b.Take(now, "s") {
							extras++
						}
					}
				}
			}
			Expect(float64(extras)).To(BeNumerically("<=", cfg.Ratio*float64(requests)+cfg.Slack))
		},
		Entry("when half of the instances are paused and resumed", func([]*Budget, time.Time) {}),
		Entry("when half of the instances are killed and replaced", func(budgets []*Budget, now time.Time) {
			for n := range budgets {
				budgets[n] = NewBudget(now, cfg)
				budgets[n].SetInstances(8)
			}
		}),
	)
})
