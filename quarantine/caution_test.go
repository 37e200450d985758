package quarantine

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// calmTime is the time after a disruption from which the bound on requests that crash endpoints applies.
const calmTime = 3 * time.Second

// reportTime is the time between two reports of the guards.
const reportTime = 100 * time.Millisecond

// harmfulLoad is a load of requests with one crashing part. Each that reaches an endpoint crashes it after crashTime, and each that is
// refused comes back after a second, three times.
type harmfulLoad struct {
	guards              []*Guard
	interval, crashTime time.Duration
}

// sendsFrom plays the load from the given phase on. All guards have just started, and what was known before is forgotten. It returns the
// number of requests that reach endpoints from calmTime on.
func (l *harmfulLoad) sendsFrom(phase time.Duration) int {
	const step, length = reportTime, 18 * time.Second // past the end of each suspension
	arrivals, crashes := make(map[time.Duration]int), make(map[time.Duration][]func())
	for at := phase; at < length; at += l.interval {
		arrivals[at.Truncate(step)]++
	}
	further, number, returning := 0, uint64(0), make(map[time.Duration][]int)
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		for _, crash := range crashes[at] {
			crash()
		}
		retries := returning[at]
		for range arrivals[at] {
			retries = append(retries, 3)
		}
		for _, left := range retries {
			number++
			request, guard := Request{Key: RequestKey(number), Parts: []Key{first, crashing}}, l.guards[number%uint64(len(l.guards))]
			process := number
			switch {
			case guard.Admit(now, request) == nil:
				if at >= calmTime {
					further++
				}
				crashes[at+l.crashTime] = append(crashes[at+l.crashTime], func() { guard.RecordCrash(start.Add(at+l.crashTime), process, request) })
			case left > 0:
				returning[at+time.Second] = append(returning[at+time.Second], left-1)
			}
		}
		l.guards[0].RecordAnswer(now, Request{Parts: []Key{first}})
		for rank, g := range l.guards {
			g.SetTurn(uint64(at/time.Second)+uint64(rank), uint64(len(l.guards)))
		}
		report(now, l.guards)
	}
	return further
}

// Guards against a crashing part that is forgotten when all instances end while the store is away, and crashes endpoints anew.
var _ = ginkgo.Describe("A part that crashed endpoints before all instances started without the store", func() {
	for interval := 200 * time.Millisecond; interval <= 2*time.Second; interval += 300 * time.Millisecond {
		for crashTime := 100 * time.Millisecond; crashTime <= 700*time.Millisecond; crashTime += 300 * time.Millisecond {
			if crashTime+reportTime > interval {
				continue // two reach endpoints before the first crash is known, and the trials of two instances may overlap
			}
			ginkgo.It(fmt.Sprintf("reaches few endpoints more, if sent every %v and crashing them after %v", interval, crashTime), func() {
				for phase := time.Duration(0); phase <= 4*time.Second; phase += 100 * time.Millisecond {
					load := &harmfulLoad{interval: interval, crashTime: crashTime}
					for range 4 {
						g := NewGuard(Config{})
						g.ExtendCaution(start)
						load.guards = append(load.guards, g)
					}
					Expect(load.sendsFrom(phase)).To(BeNumerically("<=", maxFurther), "phase %v", phase)
				}
			})
		}
	}
})

var _ = ginkgo.Describe("A cautious guard", func() {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const turns = 10 // more than any key of the tests, so that each has a turn of its own
	request := func(number uint64, parts ...Key) Request { return Request{Key: RequestKey(number), Parts: parts} }
	var g *Guard
	refuses := func(ms int, request Request) bool {
		g.Update(at(ms))
		return g.Admit(at(ms), request) != nil
	}
	ginkgo.BeforeEach(func() {
		g = NewGuard(Config{})
		g.ExtendCaution(at(0))
	})

	// Guards against sound requests that are refused because they were in progress at one crash.
	ginkgo.It("refuses what may be the cause of one crash until an answer, and for a bounded time", func() {
		sound, harmful := request(1, first, other), request(2, first, crashing)
		g.RecordAnswer(at(500), request(3, first))
		g.RecordCrash(at(1000), 1, sound)
		g.RecordCrash(at(1000), 1, harmful)
		Expect(refuses(1000, harmful)).To(BeTrue())
		Expect(refuses(1700, request(3, first))).To(BeFalse(), "answered of late: an answer can still arrive")
		Expect(refuses(1800, request(3, first))).To(BeTrue())
		g.RecordAnswer(at(1800), request(3, first))
		Expect(refuses(1800, harmful)).To(BeTrue())
		Expect(refuses(1800, request(4, first))).To(BeFalse(), "answered since")
		Expect(refuses(1800, sound)).To(BeTrue())
		g.RecordAnswer(at(2000), sound)
		Expect(refuses(2000, sound)).To(BeFalse(), "a request that was in progress was answered")
		Expect(refuses(11000, harmful)).To(BeTrue())
		Expect(refuses(11001, harmful)).To(BeFalse())
		g.RecordCrash(at(11300), 2, request(6, first, crashing))
		Expect(refuses(11300, request(5, crashing))).To(BeTrue(), "a second crash and no answer")
		Expect(refuses(15000, request(5, first))).To(BeFalse())
	})

	// Guards against a suspended key that all instances try at once, and against one that nobody tries.
	ginkgo.It("tries what is suspended when it is its turn, one request at a time", func() {
		g.RecordCrash(at(0), 1, request(1, crashing))
		Expect(refuses(0, request(2, crashing))).To(BeTrue())
		g.SetTurn(turns-uint64(crashing), turns)
		Expect(refuses(700, request(2, crashing))).To(BeTrue(), "an answer can still arrive")
		g.SetTurn(0, turns)
		Expect(refuses(900, request(2, crashing))).To(BeTrue(), "the turn of another instance")
		g.SetTurn(turns-uint64(crashing), turns)
		Expect(refuses(1000, request(2, crashing))).To(BeFalse())
		Expect(g.AdmitAgain(at(1100), at(1000), request(2, crashing))).To(Succeed(), "the trial itself")
		Expect(refuses(1100, request(3, crashing))).To(BeTrue())
		Expect(refuses(3000, request(4, crashing))).To(BeFalse())
		g.RecordCrash(at(3100), 2, request(4, crashing))
		Expect(refuses(3100, request(5, crashing))).To(BeTrue())
		Expect(g.Own(at(3100)).Records).To(HaveExactElements(HaveField("Key", crashing)))
	})

	ginkgo.It("releases what a common key of several crashes explains", func() {
		g.RecordCrash(at(0), 1, request(1, other))
		g.RecordCrash(at(0), 1, request(2, crashing))
		Expect(refuses(800, request(9, other))).To(BeTrue())
		g.RecordCrash(at(1000), 2, request(3, 7))
		g.RecordCrash(at(1000), 2, request(4, crashing))
		Expect(refuses(1800, request(9, other))).To(BeFalse())
		Expect(refuses(1800, request(9, 7))).To(BeFalse())
		Expect(refuses(1800, request(9, crashing))).To(BeTrue())
	})

	// Guards against a crashing part whose other requests are let through, since one request with it was sent twice (hlh-snowdesk,
	// tainted-store-lost, seed 2).
	ginkgo.It("suspends the parts of a request that crashed two endpoints", func() {
		g.RecordCrash(at(0), 1, request(1, crashing))
		g.RecordCrash(at(400), 2, request(1, crashing))
		Expect(refuses(400, request(2, crashing))).To(BeTrue())
		Expect(refuses(1300, request(2, crashing))).To(BeTrue(), "the request is quarantined meanwhile")
	})

	// Guards against a sound key that stays suspended at the other instances after its trial.
	ginkgo.It("reports the answer to a trial, however old the crash is", func() {
		elsewhere := NewGuard(Config{})
		elsewhere.ExtendCaution(at(0))
		for _, g := range []*Guard{g, elsewhere} {
			g.RecordCrash(at(0), 1, request(1, other))
		}
		g.SetTurn(turns-uint64(other), turns)
		Expect(refuses(9000, request(2, other))).To(BeFalse())
		g.RecordAnswer(at(9400), request(2, other))
		elsewhere.Observe(at(9500), g.Own(at(9500)))
		elsewhere.Update(at(9500))
		Expect(elsewhere.Admit(at(9500), request(3, other))).To(Succeed())
	})

	// Guards against sound requests that are refused because many endpoints were lost at once while they were in progress.
	ginkgo.It("suspends nothing if several endpoints were lost together", func() {
		for process := uint64(1); process <= 3; process++ {
			g.RecordCrash(at(int(10*process)), process, request(process, crashing))
		}
		Expect(refuses(100, request(4, crashing))).To(BeFalse())
		g.RecordCrash(at(1000), 4, request(5, crashing))
		Expect(refuses(1000, request(6, crashing))).To(BeTrue())
		Expect(g.Own(at(1000)).Records).To(BeEmpty(), "one crash with a cause of its own")
	})

	ginkgo.It("refuses a turn that was waited for", func() {
		g.RecordCrash(at(600), 1, request(1, crashing))
		Expect(g.AdmitAgain(at(900), at(500), request(2, crashing))).To(MatchError(&RefusedError{Key: crashing, RetryAfter: time.Second}))
		Expect(g.AdmitAgain(at(900), at(500), request(2, other))).To(Succeed())
	})

	ginkgo.It("is one only after a start without the store", func() {
		g = NewGuard(Config{})
		g.RecordCrash(at(0), 1, request(1, crashing))
		Expect(refuses(1000, request(2, crashing))).To(BeFalse())
	})
})
