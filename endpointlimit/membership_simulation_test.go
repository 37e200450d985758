package endpointlimit

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Times within which instances learn of a change of the instances, as package entry does.
const (
	// relistInterval is the least time between two reads of the list of instances.
	relistInterval = 10 * time.Second
	// relistCheck is the time between two checks whether the list is outdated.
	relistCheck = 500 * time.Millisecond
	// dataCentres is the number of groups of instances with neighbouring names that learn of a change at the same time.
	dataCentres = 4
	// learnTime is the time within which a new instance learns of the others and of limits.
	learnTime = time.Second
)

// member is an instance whose name is its index.
type member struct {
	*Limits
	present bool
	// learnedAt is when the instance knows of the others and of the limit, skew the error of its estimate of the time of day.
	learnedAt time.Time
	skew      time.Duration
	// listed is the list of instances that it read at listedAt, total the number of instances that it was told.
	listed   []bool
	listedAt time.Time
	total    int
}

// memberSimulation is one endpoint with a limit, and instances that use each of their turns at once while others come and go.
type memberSimulation struct {
	simulation
	members   []*member
	perSecond float32
	// heard holds the numbers of instances that are on their way to the data centres, and late the further time that they take to
	// every other data centre.
	heard []hearing
	late  time.Duration
}

// hearing is the arrival of a number of instances at a data centre.
type hearing struct {
	at                time.Time
	dataCentre, total int
}

func newMemberSimulation(seed uint64, names int, present func(name int) bool, perSecond float32) *memberSimulation {
	s := &memberSimulation{
		simulation: simulation{now: time.Unix(1_800_000_000+int64(seed)*137, 0), random: rand.New(rand.NewPCG(seed, 2))},
		members:    make([]*member, names), perSecond: perSecond,
	}
	for name := range s.members {
		s.members[name] = &member{present: present(name), skew: time.Duration(s.random.IntN(20)-10) * time.Millisecond}
	}
	for _, m := range s.members {
		s.startMember(m)
		m.learnedAt = s.now
	}
	return s
}

// list returns which instances are present.
func (s *memberSimulation) list() []bool {
	listed := make([]bool, len(s.members))
	for name, m := range s.members {
		listed[name] = m.present
	}
	return listed
}

func count(listed []bool) (n int) {
	for _, present := range listed {
		if present {
			n++
		}
	}
	return n
}

// startMember gives a member the state of a new process.
func (s *memberSimulation) startMember(m *member) {
	m.Limits, m.listed, m.listedAt = New(), s.list(), s.now
	m.total = count(m.listed)
	m.learnedAt = s.now.Add(time.Duration(s.random.Int64N(int64(learnTime))))
}

// change makes a block of instances join, leave or restart, of which the data centres hear at different times.
func (s *memberSimulation) change(first, n int, apply func(m *member)) {
	for _, m := range s.members[first:min(first+n, len(s.members))] {
		apply(m)
	}
	for dataCentre := range dataCentres {
		at := s.now.Add(300*time.Millisecond + time.Duration(s.random.IntN(600))*time.Millisecond)
		at = at.Add(time.Duration(dataCentre%2) * s.late)
		s.heard = append(s.heard, hearing{at, dataCentre, count(s.list())})
	}
}

func (s *memberSimulation) join(m *member) {
	if !m.present {
		m.present = true
		s.startMember(m)
	}
}

func (s *memberSimulation) leave(m *member) { m.present = false }

func (s *memberSimulation) restartMember(m *member) {
	if m.present {
		s.startMember(m)
	}
}

// share returns the Share of an instance, which reads the list again if it is outdated.
func (s *memberSimulation) share(name int, m *member) Share {
	if s.now.UnixNano()%int64(relistCheck) == 0 && count(m.listed) != m.total && s.now.Sub(m.listedAt) >= relistInterval {
		m.listed, m.listedAt = s.list(), s.now
	}
	share := Share{Instances: m.total, Rank: count(m.listed[:name]), FleetTime: s.now.Add(m.skew)}
	if s.now.Before(m.learnedAt) {
		share.Instances = AssumedInstances
	}
	return share
}

// hear delivers the numbers of instances that are due.
func (s *memberSimulation) hear() {
	s.heard = slices.DeleteFunc(s.heard, func(h hearing) bool {
		if h.at.After(s.now) {
			return false
		}
		for name, m := range s.members {
			if name*dataCentres/len(s.members) == h.dataCentre {
				m.total = h.total
			}
		}
		return true
	})
}

func (s *memberSimulation) runMembers(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.hear()
		for name, m := range s.members {
			if !m.present || s.now.Before(m.learnedAt) {
				continue
			}
			if s.now.UnixNano()%int64(100*time.Millisecond) == 0 || m.InForce() == 0 {
				m.SetShare(s.now, s.share(name, m))
			}
			if m.InForce() == 0 {
				m.Observe(s.now, s.now, process, Statement{Kind: Named, PerSecond: s.perSecond})
			}
			if m.Wait(s.now, process) == 0 {
				m.Take(s.now, process)
				s.arrivals = append(s.arrivals, s.now)
			}
		}
	}
}

// Guards against ranks that collide, and against turns that are used twice, while instances join, leave and restart in series.
var _ = DescribeTable("The requests of instances that come and go", func(instances int, perSecond float32, seeds uint64) {
	for seed := range seeds {
		s := newMemberSimulation(seed, instances*3/2, func(name int) bool { return name%3 != 2 }, perSecond)
		s.runMembers(2 * time.Second)
		begin := s.now
		for s.now.Before(begin.Add(30 * time.Second)) {
			apply := []func(*member){s.join, s.leave, s.restartMember}[s.random.IntN(3)]
			s.change(s.random.IntN(len(s.members)), 1+s.random.IntN(max(instances/8, 1)), apply)
			s.runMembers(200*time.Millisecond + time.Duration(s.random.IntN(560))*step)
		}
		Expect(float64(s.mostSince(begin))).To(BeNumerically("<=", bound(perSecond)), "seed %d", seed)
	}
},
	Entry("8 instances, 1/s", 8, float32(1), uint64(20)),
	Entry("8 instances, 4/s", 8, float32(4), uint64(20)),
	Entry("75 instances, 1/s", 75, float32(1), uint64(8)),
	Entry("75 instances, 4/s", 75, float32(4), uint64(8)),
	Entry("75 instances, 30/s", 75, float32(30), uint64(4)),
	Entry("295 instances, 4/s", 295, float32(4), uint64(2)),
)

// Guards against the turns of instances that join at once, such as a data centre, beside those of instances that have not read the
// list again or not heard of the number of instances.
var _ = DescribeTable("The requests of instances beside others that join", func(instances, joining int, perSecond float32, late time.Duration, seeds uint64) {
	for seed := range seeds {
		s := newMemberSimulation(seed, instances, func(name int) bool { return name >= joining }, perSecond)
		s.late = late
		s.runMembers(6 * time.Second)
		begin := s.now
		s.change(0, joining, s.join)
		s.runMembers(20 * time.Second)
		Expect(float64(s.mostSince(begin))).To(BeNumerically("<=", bound(perSecond)), "seed %d", seed)
	}
},
	Entry("8 instances, 2 join, 2/s, all hear at once", 8, 2, float32(2), time.Duration(0), uint64(20)),
	Entry("75 instances, 18 join, 2/s, all hear at once", 75, 18, float32(2), time.Duration(0), uint64(8)),
	Entry("75 instances, 18 join, 10/s, all hear at once", 75, 18, float32(10), time.Duration(0), uint64(8)),
	Entry("295 instances, 73 join, 4/s, all hear at once", 295, 73, float32(4), time.Duration(0), uint64(2)),
	Entry("8 instances, 1 join, 2/s, half of them 10 s later", 8, 1, float32(2), 10*time.Second, uint64(20)),
	Entry("75 instances, 1 join, 2/s, half of them 10 s later", 75, 1, float32(2), 10*time.Second, uint64(8)),
	Entry("75 instances, 18 join, 10/s, half of them 10 s later", 75, 18, float32(10), 10*time.Second, uint64(8)),
	Entry("295 instances, 1 join, 4/s, half of them 10 s later", 295, 1, float32(4), 10*time.Second, uint64(2)),
)
