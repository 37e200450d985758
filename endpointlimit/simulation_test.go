package endpointlimit

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// simulation is one endpoint and instances that send it requests, with a manual clock.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	instances []*Limits
	// skew is the error of each instance's estimate of the time of day.
	skew []time.Duration
	// cut holds the instances that receive no reports.
	cut map[int]bool
	// demand is the number of requests a second at each instance that could go to the endpoint.
	demand float64
	// statement is what the endpoint states in its answers.
	statement Statement
	// answerTime bounds the time until the endpoint writes an answer and that until it is read, each. limitedSince is when the
	// statement became a limit; bounded holds the arrivals from instances that had read a limit stated since.
	answerTime   time.Duration
	limitedSince time.Time
	answers      []*answer
	reports      []delivery
	arrivals     []time.Time
	bounded      []time.Time
	toldAt       map[int]time.Time
}

// answer is the answer to a request of an instance.
type answer struct {
	from                      int
	sentAt, writtenAt, readAt time.Time
	statement                 *Statement
}

// delivery is a report on its way.
type delivery struct {
	at, sentAt time.Time
	to         int
	records    Records
}

const (
	step           = 5 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	process        = uint64(0xfeed)
)

func newSimulation(seed uint64, instances int, demand float64) *simulation {
	s := &simulation{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), demand: demand, cut: make(map[int]bool), toldAt: make(map[int]time.Time),
		instances: make([]*Limits, instances), skew: make([]time.Duration, instances),
	}
	for i := range instances {
		s.skew[i] = time.Duration(s.random.IntN(20)-10) * time.Millisecond
		s.restart(i)
	}
	return s
}

// restart replaces an instance by one without state.
func (s *simulation) restart(i int) { s.instances[i] = New() }

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		report := s.now.UnixNano()%int64(reportInterval) == 0
		for i, limits := range s.instances {
			limits.SetShare(s.now, Share{Instances: len(s.instances), Rank: i, FleetTime: s.now.Add(s.skew[i])})
			if s.random.Float64() < s.demand*step.Seconds() && limits.Wait(s.now, process) == 0 {
				limits.Take(s.now, process)
				s.request(i)
			}
			if report {
				s.report(i)
			}
		}
		s.answer()
		s.deliver()
	}
}

// request records the arrival of a request of an instance.
func (s *simulation) request(from int) {
	s.arrivals = append(s.arrivals, s.now)
	if told, ok := s.toldAt[from]; ok && s.now.Sub(told) >= 500*time.Millisecond {
		s.bounded = append(s.bounded, s.now)
	}
	writtenAt := s.now.Add(time.Duration(s.random.Int64N(int64(s.answerTime) + 1)))
	readAt := writtenAt.Add(time.Duration(s.random.Int64N(int64(s.answerTime) + 1)))
	s.answers = append(s.answers, &answer{from: from, sentAt: s.now, writtenAt: writtenAt, readAt: readAt})
}

// answer writes and delivers the answers that are due.
func (s *simulation) answer() {
	s.answers = slices.DeleteFunc(s.answers, func(a *answer) bool {
		if a.statement == nil && !a.writtenAt.After(s.now) {
			statement := s.statement
			a.statement = &statement
		}
		if a.readAt.After(s.now) {
			return false
		}
		s.instances[a.from].Observe(s.now, a.sentAt, process, *a.statement)
		if _, told := s.toldAt[a.from]; !told && a.statement.Kind == Named && !a.writtenAt.Before(s.limitedSince) {
			s.toldAt[a.from] = s.now
		}
		return true
	})
}

// state makes the endpoint state another limit, or none.
func (s *simulation) state(statement Statement) {
	s.statement, s.limitedSince, s.bounded, s.toldAt = statement, s.now, nil, make(map[int]time.Time)
}

// report sends what an instance knows to a few others.
func (s *simulation) report(from int) {
	for range 3 {
		delay := 300*time.Millisecond + time.Duration(s.random.IntN(600))*time.Millisecond
		to := s.random.IntN(len(s.instances))
		s.reports = append(s.reports, delivery{s.now.Add(delay), s.now, to, s.instances[from].Records(s.now, MaxRecords)})
	}
}

func (s *simulation) deliver() {
	kept := s.reports[:0]
	for _, d := range s.reports {
		switch {
		case d.at.After(s.now):
			kept = append(kept, d)
		case !s.cut[d.to]:
			s.instances[d.to].Merge(s.now, d.records.Delayed(s.now.Sub(d.sentAt)))
		}
	}
	s.reports = kept
}

// mostSince returns the largest number of arrivals within 4 s since a time, countSince the number of all.
func (s *simulation) mostSince(since time.Time) int { return mostWithin(s.arrivals, since) }

func mostWithin(arrivals []time.Time, since time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for arrivals[first].Before(since) || at.Sub(arrivals[first]) >= 4*time.Second {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

func (s *simulation) countSince(since time.Time) int {
	n := 0
	for _, at := range s.arrivals {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// bound is the largest number of requests that may arrive in 4 s.
func bound(perSecond float32) float64 { return 1.5*4*float64(perSecond) + 5 }

// Guards against the sum of all instances' requests above a limit, and against a limit that is hardly used.
var _ = DescribeTable("The requests of all instances", func(instances int, perSecond float32, demand, leastUse float64, seeds uint64) {
	for seed := range seeds {
		s := newSimulation(seed, instances, demand)
		s.run(time.Second)
		s.statement = Statement{Kind: Named, PerSecond: perSecond}
		s.run(3 * time.Second)
		bounded := s.now
		s.run(20 * time.Second)
		for i := range instances / 4 {
			s.restart(i)
			s.cut[instances-1-i] = true
		}
		s.run(10 * time.Second)
		used := float64(s.countSince(bounded)) / (30 * float64(perSecond))
		Expect(float64(s.mostSince(bounded))).To(BeNumerically("<=", bound(perSecond)))
		Expect(used).To(BeNumerically(">=", leastUse))

		s.cut = make(map[int]bool)
		s.statement = Statement{Kind: Absent}
		s.run(time.Duration(3 * float64(time.Second) * max(1, 1/float64(perSecond))))
		afterEnd := s.now
		s.run(4 * time.Second)
		Expect(float64(s.countSince(afterEnd))).To(BeNumerically(">", 0.8*4*demand*float64(instances)))
	}
},
	Entry("8 instances, 2/s", 8, float32(2), 5.0, 0.7, uint64(4)),
	Entry("8 instances, 0.25/s", 8, float32(0.25), 5.0, 0.6, uint64(4)),
	Entry("8 instances, 30/s", 8, float32(30), 8.0, 0.7, uint64(4)),
	Entry("75 instances, 2/s", 75, float32(2), 2.0, 0.7, uint64(2)),
	Entry("75 instances, 30/s", 75, float32(30), 2.0, 0.7, uint64(2)),
	Entry("295 instances, 3/s", 295, float32(3), 1.0, 0.7, uint64(1)),
)

// Guards against a limit that ends with an answer which was written before it began, and against one that does not end.
var _ = DescribeTable("The requests at an endpoint whose limit begins and ends while answers are under way", func(instances int, perSecond float32, demand float64, seeds uint64) {
	for seed := range seeds {
		s := newSimulation(seed, instances, demand)
		s.answerTime = 4 * time.Second
		for range 2 {
			s.state(Statement{Kind: Named, PerSecond: perSecond})
			s.run(16 * time.Second)
			Expect(float64(mostWithin(s.bounded, s.limitedSince.Add(3*time.Second)))).To(BeNumerically("<=", bound(perSecond)), "seed %d", seed)
			s.state(Statement{Kind: Absent})
			s.run(20 * time.Second)
			for _, limits := range s.instances {
				Expect(limits.InForce()).To(BeZero(), "seed %d", seed)
			}
		}
	}
},
	Entry("8 instances, 2/s", 8, float32(2), 5.0, uint64(8)),
)
