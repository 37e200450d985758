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

	// Guards against BUDGET in an outage: every send fails at all instances.
	It("keeps all instances together within the bound", func() {
		const members, perSecond = 7, 5
		var budgets []*Budget
		for range members {
			b := NewBudget(start, cfg)
			b.SetMembers(members)
			budgets = append(budgets, b)
		}
		extras := 0
		for second := range 10 {
			now := start.Add(time.Duration(second) * time.Second)
			for _, b := range budgets {
				for range perSecond {
					b.Request(now, "s")
					if b.Take(now, "s") {
						extras++
					}
				}
			}
		}
		Expect(float64(extras)).To(BeNumerically("<=", cfg.Ratio*members*perSecond*10+cfg.Slack))
		Expect(extras).To(BeNumerically(">", 0))
	})

	It("counts services apart", func() {
		b := NewBudget(start, Config{Ratio: 1, Slack: 2, Window: time.Second})
		Expect(b.Take(start, "a")).To(BeTrue())
		Expect(b.Take(start, "a")).To(BeFalse())
		Expect(b.Take(start, "b")).To(BeTrue())
	})

	It("allows again when the window has passed", func() {
		b := NewBudget(start, Config{Ratio: 0, Slack: 2, Window: time.Second})
		Expect(b.Take(start, "a")).To(BeTrue())
		Expect(b.Take(start.Add(990*time.Millisecond), "a")).To(BeFalse())
		Expect(b.Take(start.Add(1100*time.Millisecond), "a")).To(BeTrue())
	})
})

// TestSlidingWindow guards against a bound that holds only in windows that start
// at certain times.
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
				b.Request(now, "s")
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
			// The requests of the window and of the one before it count.
			base := 0
			for _, at := range requests {
				if d := at.Sub(first); d > -cfg.Window && d < cfg.Window {
					base++
				}
			}
			if float64(count) > cfg.Ratio*float64(base)+cfg.Slack {
				t.Fatalf("%d extra sends in a window, %d requests around it", count, base)
			}
		}
	})
}

var _ = Describe("Budget of a deployment whose instances come and go", func() {
	cfg := Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	start := time.Unix(1000, 0)

	// Guards against BUDGET when half of the instances are frozen and wake, or are replaced by new ones, inside one
	// window: those that go on do not take the share of the others, and the new ones begin with a share of their own.
	DescribeTable("stays within the bound in one window",
		func(half func(budgets []*Budget, now time.Time)) {
			const members, perSecond = 8, 4
			budgets := make([]*Budget, members)
			for n := range budgets {
				budgets[n] = NewBudget(start, cfg)
				budgets[n].SetMembers(members)
			}
			requests, extras := 0, 0
			for second := range 10 {
				now := start.Add(time.Duration(second) * time.Second)
				running := budgets
				if second >= 3 && second < 7 {
					running = budgets[members/2:]
				}
				if second == 7 {
					half(budgets[:members/2], now)
				}
				for _, b := range running {
					for range perSecond {
						requests++
						b.Request(now, "s")
						for b.Take(now, "s") {
							extras++
						}
					}
				}
			}
			Expect(float64(extras)).To(BeNumerically("<=", cfg.Ratio*float64(requests)+cfg.Slack))
		},
		Entry("frozen and awake again", func([]*Budget, time.Time) {}),
		Entry("killed and started again", func(budgets []*Budget, now time.Time) {
			for n := range budgets {
				budgets[n] = NewBudget(now, cfg)
				budgets[n].SetMembers(8)
			}
		}),
	)
})
