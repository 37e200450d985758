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
	memberStep  = 20 * time.Millisecond
	// learnTime is the time within which a new instance learns of the others and of limits.
	learnTime = time.Second
)

// member is an instance. Its name is its index.
type member struct {
	*Limits
	name    int
	present bool
	// learnedAt is when the instance knows of the others and of the limit, skew the error of its estimate of the time of day.
	learnedAt time.Time
	skew      time.Duration
	// rank and listed are its rank in the list of instances that it read at listedAt and the length of the list, total is the
	// number of instances that it was told.
	rank, listed, total int
	listedAt            time.Time
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
		s.members[name] = &member{name: name, present: present(name), skew: time.Duration(s.random.IntN(20)-10) * time.Millisecond}
	}
	for _, m := range s.members {
		s.startMember(m)
		m.learnedAt = s.now
	}
	return s
}

// present returns the number of instances with names below the given one that are present.
func (s *memberSimulation) present(below int) (n int) {
	for _, m := range s.members[:below] {
		if m.present {
			n++
		}
	}
	return n
}

// list makes an instance read the list of instances.
func (s *memberSimulation) list(m *member) {
	m.rank, m.listed, m.listedAt = s.present(m.name), s.present(len(s.members)), s.now
}

// startMember gives a member the state of a new process.
func (s *memberSimulation) startMember(m *member) {
	m.Limits = New()
	s.list(m)
	m.total = m.listed
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
		s.heard = append(s.heard, hearing{at, dataCentre, s.present(len(s.members))})
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
func (s *memberSimulation) share(m *member) Share {
	if s.now.UnixNano()%int64(relistCheck) == 0 && m.listed != m.total && s.now.Sub(m.listedAt) >= relistInterval {
		s.list(m)
	}
	return Share{Instances: m.total, Rank: m.rank, FleetTime: s.now.Add(m.skew)}
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
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(memberStep) {
		s.hear()
		for _, m := range s.members {
			if !m.present || s.now.Before(m.learnedAt) {
				continue
			}
			if s.now.UnixNano()%int64(100*time.Millisecond) == 0 || m.InForce() == 0 {
				m.SetShare(s.now, s.share(m))
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
			s.runMembers(200*time.Millisecond + time.Duration(s.random.IntN(140))*memberStep)
		}
		Expect(float64(s.mostSince(begin))).To(BeNumerically("<=", bound(perSecond)), "seed %d", seed)
	}
},
	Entry("8 instances, 1/s", 8, float32(1), uint64(12)),
	Entry("8 instances, 4/s", 8, float32(4), uint64(12)),
	Entry("75 instances, 1/s", 75, float32(1), uint64(4)),
	Entry("75 instances, 4/s", 75, float32(4), uint64(4)),
	Entry("75 instances, 30/s", 75, float32(30), uint64(2)),
	Entry("295 instances, 4/s", 295, float32(4), uint64(1)),
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
	Entry("8 instances, 2 join, 2/s, all hear at once", 8, 2, float32(2), time.Duration(0), uint64(12)),
	Entry("75 instances, 18 join, 2/s, all hear at once", 75, 18, float32(2), time.Duration(0), uint64(4)),
	Entry("75 instances, 18 join, 10/s, all hear at once", 75, 18, float32(10), time.Duration(0), uint64(2)),
	Entry("295 instances, 73 join, 4/s, all hear at once", 295, 73, float32(4), time.Duration(0), uint64(1)),
	Entry("8 instances, 1 join, 2/s, half of them 10 s later", 8, 1, float32(2), 10*time.Second, uint64(12)),
	Entry("75 instances, 1 join, 2/s, half of them 10 s later", 75, 1, float32(2), 10*time.Second, uint64(4)),
	Entry("75 instances, 18 join, 10/s, half of them 10 s later", 75, 18, float32(10), 10*time.Second, uint64(2)),
	Entry("295 instances, 1 join, 4/s, half of them 10 s later", 295, 1, float32(4), 10*time.Second, uint64(1)),
)
