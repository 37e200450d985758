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

// fleet simulates a deployment of limiters with a manual clock and links that
// can drop reports.
type fleet struct {
	now       time.Time
	instances []*instance
	cfg       Config
	team      *deployment.Team
	admitted  []admission
	// lastBoot is the boot number of the instance that started last.
	lastBoot uint64
	// linkUp reports whether reports of one instance reach another.
	linkUp func(from, to int) bool
}

type instance struct {
	limiter *Limiter
	boot    uint64
	// paused means that the process runs no code: it sends no reports and admits no requests.
	paused bool
}

// admission is one admitted request.
type admission struct {
	at   time.Time
	cost float64
}

const (
	// reportInterval is the period of reports.
	reportInterval = 100 * time.Millisecond
	// window is the time over which limits are evaluated.
	window = 8 * time.Second
)

func newFleet(n int, cfg Config, limit deployment.Limit) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), cfg: cfg, team: &deployment.Team{Name: "team", Limit: limit},
		linkUp: func(int, int) bool { return true },
	}
	for range n {
		f.instances = append(f.instances, &instance{})
	}
	for i := range f.instances {
		f.startInstance(i, cfg.NewDeployment)
	}
	return f
}

func instanceName(i int) string { return fmt.Sprintf("instance-%d", i) }

// startInstance replaces an instance with a new process that has no state.
func (f *fleet) startInstance(i int, newDeployment bool) {
	cfg := f.cfg
	cfg.NewDeployment = newDeployment
	f.lastBoot++
	f.instances[i] = &instance{limiter: NewLimiter(cfg), boot: f.lastBoot}
	var others []string
	for j := range f.instances {
		if j != i {
			others = append(others, instanceName(j))
		}
	}
	f.instances[i].limiter.SetMembers(others)
	f.instances[i].limiter.SetTeams(f.now, []*deployment.Team{f.team})
}

// advance moves the clock by one report interval and delivers the reports.
func (f *fleet) advance() {
	f.now = f.now.Add(reportInterval)
	for i, from := range f.instances {
		if from.paused {
			continue
		}
		report := from.limiter.LocalUse(f.now)
		for j, to := range f.instances {
			if i != j && !to.paused && f.linkUp(i, j) {
				to.limiter.Observe(f.now, instanceName(i), from.boot, report)
			}
		}
	}
}

// request sends a request of the given cost to an instance and reports whether it was admitted.
func (f *fleet) request(i int, cost float64) bool {
	if f.instances[i].paused {
		return false
	}
	ok, _ := f.instances[i].limiter.Take(f.now, f.team.Name, cost)
	if ok {
		f.admitted = append(f.admitted, admission{f.now, cost})
	}
	return ok
}

// maxWindowUse returns the highest admitted cost in any window.
func (f *fleet) maxWindowUse() float64 {
	highest, sum, first := 0.0, 0.0, 0
	for _, a := range f.admitted {
		sum += a.cost
		for a.at.Sub(f.admitted[first].at) >= window {
			sum -= f.admitted[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// bound returns the use allowed in any window.
func (f *fleet) bound() float64 {
	limit := f.team.Limit
	return (limit.Rate*window.Seconds()+limit.Burst)*(1+f.cfg.Overage) + f.cfg.Slack
}

var (
	testConfig = Config{Overage: 0.1, Slack: 190_000, NewDeployment: true}
	testLimit  = deployment.Limit{Rate: 447_000, Burst: 447_000, ByTokens: true}
)

var _ = Describe("Limiter", func() {
	// Guards against use beyond the bound when a team sends about three times its limit in total, spread over all
	// instances.
	It("bounds the use of a team that sends more than its limit, and still admits at least 97 % of the limit", func() {
		f := newFleet(7, testConfig, testLimit)
		for range 300 {
			for i := range f.instances {
				f.request(i, 20_000)
			}
			f.advance()
		}
		Expect(f.maxWindowUse()).To(BeNumerically("<=", f.bound()))
		total := 0.0
		for _, a := range f.admitted {
			total += a.cost
		}
		Expect(total).To(BeNumerically(">=", 0.97*testLimit.Rate*30))
	})

	// Guards against refusals below the limit when all traffic of a team arrives at one of seven instances.
	It("admits all requests of a team below its limit when they arrive at one instance", func() {
		f := newFleet(7, testConfig, testLimit)
		for range 300 {
			for range 2 {
				Expect(f.request(0, 20_000)).To(BeTrue())
			}
			f.advance()
		}
	})

	// Guards against a second burst after a restart of all processes, which lose the record of earlier use.
	It("enforces the limit when all processes restart", func() {
		f := newFleet(7, testConfig, testLimit)
		for round := range 200 {
			for i := range f.instances {
				if round == 100 {
					f.startInstance(i, false)
				}
				f.request(i, 20_000)
			}
			f.advance()
		}
		Expect(f.maxWindowUse()).To(BeNumerically("<=", f.bound()))
	})

	// Guards against a partitioned instance that cannot use its share of the limit. TestLimitHoldsUnderFaults guards
	// against the use of the other instances' shares.
	It("lets a partitioned instance use its share, within the limit", func() {
		f := newFleet(4, testConfig, testLimit)
		f.linkUp = func(from, to int) bool { return from != 3 && to != 3 }
		admitted := 0
		for range 300 {
			for range 4 {
				if f.request(3, 20_000) {
					admitted++
				}
			}
			f.advance()
		}
		share := testLimit.Rate * 30 / 4
		Expect(float64(admitted) * 20_000).To(BeNumerically(">=", share))
		Expect(f.maxWindowUse()).To(BeNumerically("<=", f.bound()))
	})

	// Guards against a full bucket of the old limit that remains available after the limit was lowered.
	It("applies a lower limit at once", func() {
		f := newFleet(3, testConfig, testLimit)
		f.team = &deployment.Team{Name: "team", Limit: deployment.Limit{Rate: 40_000, Burst: 40_000, ByTokens: true}}
		for _, inst := range f.instances {
			inst.limiter.SetTeams(f.now, []*deployment.Team{f.team})
		}
		for range 300 {
			for i := range f.instances {
				f.request(i, 15_000)
			}
			f.advance()
		}
		Expect(f.maxWindowUse()).To(BeNumerically("<=", f.bound()))
	})

	// Guards against charging a team for a request that did not run.
	It("refunds the cost of a request that no endpoint ran", func() {
		f := newFleet(1, Config{NewDeployment: true}, deployment.Limit{Rate: 1, Burst: 10})
		Expect(f.request(0, 10)).To(BeTrue())
		Expect(f.request(0, 10)).To(BeFalse())
		f.instances[0].limiter.Refund("team", 10)
		Expect(f.request(0, 10)).To(BeTrue())
	})

	// Guards against a Retry-After after which the request is refused again.
	It("returns the time until the bucket holds the cost of a refused request", func() {
		f := newFleet(1, Config{NewDeployment: true}, deployment.Limit{Rate: 10, Burst: 10})
		Expect(f.request(0, 10)).To(BeTrue())
		ok, wait := f.instances[0].limiter.Take(f.now, "team", 5)
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
	})
})

// TestLimitHoldsUnderFaults guards against use beyond the bound (limit, Overage and Slack) under
// partitions, pauses and restarts at any moment. Partitions are symmetric and
// last for several report intervals; each separates two instances, which stand
// for one data centre, from the others.
func TestLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(7, testConfig, testLimit)
		demand := rapid.Float64Range(0.2, 4).Draw(t, "demand")
		partition := make([]int, len(f.instances))
		f.linkUp = func(from, to int) bool { return partition[from] == partition[to] }
		for range 30 {
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				first := rapid.IntRange(0, len(f.instances)-1).Draw(t, "cut")
				for i := range partition {
					partition[i] = 0
				}
				partition[first], partition[(first+1)%len(partition)] = 1, 1
			case 1:
				for i := range partition {
					partition[i] = 0
				}
			case 2:
				f.startInstance(rapid.IntRange(0, len(f.instances)-1).Draw(t, "restarted"), false)
			case 3:
				inst := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "paused")]
				inst.paused = !inst.paused
			}
			for range rapid.IntRange(3, 20).Draw(t, "steps") {
				requests := int(demand * testLimit.Rate * reportInterval.Seconds() / 15_000)
				for range requests {
					f.request(rapid.IntRange(0, len(f.instances)-1).Draw(t, "instance"), 15_000)
				}
				f.advance()
			}
		}
		if f.maxWindowUse() > f.bound() {
			t.Fatalf("admitted %.0f tokens in a window, want at most %.0f", f.maxWindowUse(), f.bound())
		}
	})
}
