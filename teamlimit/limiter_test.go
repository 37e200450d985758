package teamlimit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/deployment"
)

// fleet is a deployment of limiters under a scripted clock, with reports that
// links may not carry.
type fleet struct {
	now     time.Time
	nodes   []*node
	cfg     Config
	team    *deployment.Team
	used    []use
	boots   uint64
	reached func(from, to int) bool
}

type node struct {
	limiter *Limiter
	boot    uint64
	// frozen nodes neither report nor admit.
	frozen bool
}

type use struct {
	at   time.Time
	cost float64
}

const (
	// step is the period of reports.
	step = 100 * time.Millisecond
	// window is what limits are judged by.
	window = 8 * time.Second
)

func newFleet(n int, cfg Config, limit deployment.Limit) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), cfg: cfg, team: &deployment.Team{Name: "team", Limit: limit},
		reached: func(int, int) bool { return true },
	}
	for range n {
		f.nodes = append(f.nodes, &node{})
	}
	for i := range f.nodes {
		f.boot(i, cfg.NewDeployment)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("node-%d", i) }

// boot starts a node anew.
func (f *fleet) boot(i int, newDeployment bool) {
	cfg := f.cfg
	cfg.NewDeployment = newDeployment
	f.boots++
	f.nodes[i] = &node{limiter: NewLimiter(cfg), boot: f.boots}
	var others []string
	for j := range f.nodes {
		if j != i {
			others = append(others, name(j))
		}
	}
	f.nodes[i].limiter.SetMembers(others)
	f.nodes[i].limiter.SetTeams(f.now, []*deployment.Team{f.team})
}

// advance lets a step pass and carries the reports.
func (f *fleet) advance() {
	f.now = f.now.Add(step)
	for i, from := range f.nodes {
		if from.frozen {
			continue
		}
		report := from.limiter.Local(f.now)
		for j, to := range f.nodes {
			if i != j && !to.frozen && f.reached(i, j) {
				to.limiter.Observe(f.now, name(i), from.boot, report)
			}
		}
	}
}

// ask takes cost at a node and reports whether it was admitted.
func (f *fleet) ask(i int, cost float64) bool {
	if f.nodes[i].frozen {
		return false
	}
	ok, _ := f.nodes[i].limiter.Take(f.now, f.team.Name, cost)
	if ok {
		f.used = append(f.used, use{f.now, cost})
	}
	return ok
}

// worst returns the most that was used in any window.
func (f *fleet) worst() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, u := range f.used {
		sum += u.cost
		for u.at.Sub(f.used[first].at) >= window {
			sum -= f.used[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// bound is what may be used in any window.
func (f *fleet) bound() float64 {
	limit := f.team.Limit
	return (limit.Rate*window.Seconds()+limit.Burst)*(1+f.cfg.Overage) + f.cfg.Slack
}

var (
	usualConfig = Config{Overage: 0.1, Slack: 190_000, NewDeployment: true}
	usualLimit  = deployment.Limit{Rate: 447_000, Burst: 447_000, ByTokens: true}
)

var _ = Describe("Limiter", func() {
	// Guards against QUOTA: a team at three times its limit through all instances.
	It("keeps a team that asks too much to its limit, and gives it that", func() {
		f := newFleet(7, usualConfig, usualLimit)
		for range 300 {
			for i := range f.nodes {
				f.ask(i, 20_000)
			}
			f.advance()
		}
		Expect(f.worst()).To(BeNumerically("<=", f.bound()))
		total := 0.0
		for _, u := range f.used {
			total += u.cost
		}
		Expect(total).To(BeNumerically(">=", 0.97*usualLimit.Rate*30))
	})

	// Guards against refusals below the limit: the traffic of a team at one instance of seven.
	It("lets a team use its whole limit at one instance", func() {
		f := newFleet(7, usualConfig, usualLimit)
		for range 300 {
			for range 2 {
				Expect(f.ask(0, 20_000)).To(BeTrue())
			}
			f.advance()
		}
	})

	// Guards against QUOTA after herd_kill: processes that forgot what was used.
	It("keeps the limit when all processes start anew", func() {
		f := newFleet(7, usualConfig, usualLimit)
		for round := range 200 {
			for i := range f.nodes {
				if round == 100 {
					f.boot(i, false)
				}
				f.ask(i, 20_000)
			}
			f.advance()
		}
		Expect(f.worst()).To(BeNumerically("<=", f.bound()))
	})

	// Guards against an instance that takes others' shares: it does not hear them.
	It("gives a cut-off instance its share", func() {
		f := newFleet(4, usualConfig, usualLimit)
		f.reached = func(from, to int) bool { return from != 3 && to != 3 }
		admitted := 0
		for range 300 {
			for range 4 {
				if f.ask(3, 20_000) {
					admitted++
				}
			}
			f.advance()
		}
		share := usualLimit.Rate * 30 / 4
		Expect(float64(admitted) * 20_000).To(BeNumerically(">=", share))
		Expect(f.worst()).To(BeNumerically("<=", f.bound()))
	})

	It("binds a lower limit at once", func() {
		f := newFleet(3, usualConfig, usualLimit)
		f.team = &deployment.Team{Name: "team", Limit: deployment.Limit{Rate: 40_000, Burst: 40_000, ByTokens: true}}
		for _, n := range f.nodes {
			n.limiter.SetTeams(f.now, []*deployment.Team{f.team})
		}
		for range 300 {
			for i := range f.nodes {
				f.ask(i, 15_000)
			}
			f.advance()
		}
		Expect(f.worst()).To(BeNumerically("<=", f.bound()))
	})

	It("returns the cost of a request that reached no endpoint", func() {
		f := newFleet(1, Config{NewDeployment: true}, deployment.Limit{Rate: 1, Burst: 10})
		Expect(f.ask(0, 10)).To(BeTrue())
		Expect(f.ask(0, 10)).To(BeFalse())
		f.nodes[0].limiter.Refund("team", 10)
		Expect(f.ask(0, 10)).To(BeTrue())
	})

	It("tells when there is room again", func() {
		f := newFleet(1, Config{NewDeployment: true}, deployment.Limit{Rate: 10, Burst: 10})
		Expect(f.ask(0, 10)).To(BeTrue())
		ok, wait := f.nodes[0].limiter.Take(f.now, "team", 5)
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
	})
})

// TestLimitHoldsUnderFaults guards against QUOTA under partitions, pauses and
// restarts at any moment. Partitions are symmetric and last for some steps; the
// instances that can be lost at once are those of one data centre.
func TestLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(7, usualConfig, usualLimit)
		demand := rapid.Float64Range(0.2, 4).Draw(t, "demand")
		side := make([]int, len(f.nodes))
		f.reached = func(from, to int) bool { return side[from] == side[to] }
		for range 30 {
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				cut := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "cut")
				for i := range side {
					side[i] = 0
				}
				side[cut], side[(cut+1)%len(side)] = 1, 1
			case 1:
				for i := range side {
					side[i] = 0
				}
			case 2:
				f.boot(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "restarted"), false)
			case 3:
				n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "frozen")]
				n.frozen = !n.frozen
			}
			for range rapid.IntRange(3, 20).Draw(t, "steps") {
				asks := int(demand * usualLimit.Rate * step.Seconds() / 15_000)
				for range asks {
					f.ask(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node"), 15_000)
				}
				f.advance()
			}
		}
		if f.worst() > f.bound() {
			t.Fatalf("used %.0f in a window, the bound is %.0f", f.worst(), f.bound())
		}
	})
}
