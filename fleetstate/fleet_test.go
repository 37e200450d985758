package fleetstate

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/endpointlimit"
	"knapweedhoist/quarantine"
)

var _ = ginkgo.Describe("Fleet", func() {
	const slot = int64(4000)

	// deployment returns two data centres of four instances that all know each other: dc-0 and dc-1 of each data centre act
	// as aggregators.
	deployment := func(now time.Time) (a, b []*node) {
		a, b = nodesOf("a", 4), nodesOf("b", 4)
		for _, n := range append(append([]*node{}, a...), b...) {
			n.list(append(append([]*node{}, a...), b...)...)
			n.Advance(now, slot)
		}
		return a, b
	}
	// exchange passes one round of messages on.
	exchange := func(now time.Time, a, b []*node) {
		for _, nodes := range [][]*node{a, b} {
			for _, n := range nodes {
				n.report(now, nodes[0], nodes[1])
			}
		}
		for i := range 2 {
			a[i].summarise(now, b[0], b[1])
			b[i].summarise(now, a[0], a[1])
		}
		for _, nodes := range [][]*node{a, b} {
			for _, n := range nodes {
				n.Advance(now, slot)
			}
			for _, n := range nodes[2:] {
				n.ObserveDigest(now, nodes[0].digest(now, n))
				n.Advance(now, slot)
			}
		}
	}

	// Guards against two instances that take the same part of a limit for good, since one of them read the list before the other
	// had joined.
	ginkgo.It("finds that a list is outdated, and ranks all differently after it was read again", func() {
		a, b := nodesOf("a", 4), nodesOf("b", 4)
		all := append(append([]*node{}, b...), a...) // the instances of b have started first
		for i, n := range all {
			n.list(all[:i+1]...)
			n.Advance(start, slot)
		}
		a[0].list(all...)
		b[0].list(all...)
		for round := range 3 {
			exchange(start.Add(time.Duration(round)*100*time.Millisecond), a, b)
		}
		now := start.Add(300 * time.Millisecond)
		Expect(b[3].ListOutdated(now)).To(BeTrue())
		ranks := make(map[int]bool)
		for _, n := range all {
			if n.ListOutdated(now) {
				n.list(all...)
			}
			Expect(n.ListOutdated(now)).To(BeFalse(), n.name)
			ranks[n.Rank()] = true
		}
		Expect(ranks).To(HaveLen(len(all)))
	})

	// Guards against an instance that does not learn of a limit, or of its end, which others were told, and against two instances
	// that take the same part of it.
	ginkgo.It("passes the newest statement about a rate limit on to all and ranks all differently", func() {
		a, b := deployment(start)
		a[3].SetOwn(State{Limits: endpointlimit.Records{{Process: 1, PerSecond: 2}, {Process: 2, PerSecond: 3, Age: time.Second}}})
		b[3].SetOwn(State{Limits: endpointlimit.Records{{Process: 2, Ended: true}}})
		exchange(start, a, b)
		exchange(start.Add(100*time.Millisecond), a, b)
		ranks := make(map[int]bool)
		for _, n := range append(append([]*node{}, a...), b...) {
			limits := n.Advance(start.Add(100*time.Millisecond), slot).Limits
			Expect(limits).To(HaveLen(2), n.name)
			for _, record := range limits {
				Expect(record.Ended).To(Equal(record.Process == 2), n.name)
			}
			ranks[n.Rank()] = true
		}
		Expect(ranks).To(HaveLen(8))
	})

	// Guards against use that is counted twice because two aggregators report it, and against use that is missing.
	ginkgo.It("knows the use of every other instance once", func() {
		a, b := deployment(start)
		exchange(start, a, b)
		for _, n := range append(append([]*node{}, a...), b...) {
			n.take(slot + 1)
			n.take(slot + 2)
		}
		exchange(start.Add(100*time.Millisecond), a, b)
		exchange(start.Add(200*time.Millisecond), a, b)
		for _, n := range append(append([]*node{}, a...), b...) {
			Expect(n.known()).To(Equal(14.0), n.name)
		}
	})

	// Guards against load that disappears or doubles on the way through the aggregators.
	ginkgo.It("adds up the load of the other instances", func() {
		a, b := deployment(start)
		for _, n := range append(append([]*node{}, a...), b...) {
			n.SetOwn(State{
				Offered:   map[string]float64{"t": 1},
				Endpoints: map[uint32]EndpointLoad{5: {Running: 2, PendingTokens: 100}},
				Services:  map[string]ServiceLoad{"s": {Prefill: 10}},
			})
		}
		exchange(start, a, b)
		for _, n := range []*node{a[0], a[3], b[1], b[2]} {
			others := n.Advance(start, slot)
			Expect(others.Offered["t"]).To(Equal(7.0), n.name)
			Expect(others.Endpoints[5]).To(Equal(EndpointLoad{Running: 14, PendingTokens: 700}), n.name)
			Expect(others.Services["s"].Prefill).To(Equal(70.0), n.name)
			Expect(others.Share).To(Equal(1.0), n.name)
		}
	})

	// Guards against a share of limits that both sides of a partition use.
	ginkgo.It("counts only the connected instances while a data centre is cut off", func() {
		a, b := deployment(start)
		exchange(start, a, b)
		cut := start.Add(time.Second)
		for _, nodes := range [][]*node{a, b} {
			for _, n := range nodes {
				n.report(cut, nodes[0], nodes[1])
			}
			for _, n := range nodes {
				n.Advance(cut, slot+4)
			}
			for _, n := range nodes[2:] {
				n.ObserveDigest(cut, nodes[0].digest(cut, n))
			}
			for _, n := range nodes {
				Expect(n.Advance(cut, slot+4).Share).To(Equal(0.5), n.name)
			}
		}
	})

	// Guards against two aggregators that confirm a lost data centre to each other.
	ginkgo.It("does not learn from digests that a lost data centre is connected", func() {
		a, b := deployment(start)
		exchange(start, a, b)
		now := start
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			for i := range 2 {
				a[i].report(now, a[1-i])
				a[i].ObserveDigest(now, a[1-i].digest(now, a[i]))
			}
		}
		Expect(a[0].Advance(now, slot+8).Share).To(Equal(0.25))
	})

	// Guards against use of a cut-off data centre that is charged a second time after the cut: the others had left it its
	// share.
	ginkgo.It("leaves out the use in the slots in which a data centre was disconnected", func() {
		a, b := deployment(start)
		exchange(start, a, b)
		for i := range int64(8) {
			a[0].Advance(start.Add(time.Duration(i)*250*time.Millisecond), slot+i)
		}
		b[0].take(slot + 7)
		now := start.Add(2 * time.Second)
		b[0].summarise(now, a[0])
		a[0].Advance(now, slot+8)
		Expect(a[0].known()).To(Equal(0.0))
		b[0].take(slot + 8)
		b[0].summarise(now, a[0])
		a[0].Advance(now, slot+8)
		Expect(a[0].known()).To(Equal(1.0))
	})

	// Guards against totals that decrease when datagrams arrive out of order, and against a process that takes its own
	// reports for those of another.
	ginkgo.It("ignores messages that are not newer than the last one, and its own", func() {
		a := nodesOf("a", 2)
		first := a[1].OwnReport(a[1].sender(), false)
		second := a[1].OwnReport(a[1].sender(), false)
		Expect(a[0].ObserveReport(start, second)).To(BeTrue())
		Expect(a[0].ObserveReport(start, first)).To(BeFalse())
		Expect(a[0].ObserveReport(start, second)).To(BeFalse())
		Expect(a[1].ObserveReport(start, second)).To(BeFalse())
		restarted := newNode("a-1", "a", 2)
		Expect(a[0].ObserveReport(start, restarted.OwnReport(restarted.sender(), false))).To(BeTrue())
	})

	// Guards against a count that a wrong clock puts far into the future, which would push out the current ones.
	ginkgo.It("ignores counts that are far from the current slot", func() {
		a := nodesOf("a", 2)
		a[0].Advance(start, slot)
		a[1].report(start, a[0])
		far := make(Table)
		far.Add("t", slot+1_000_000, 5)
		a[1].SetOwn(State{Used: far})
		a[1].report(start, a[0])
		a[0].Advance(start, slot)
		Expect(a[0].known()).To(Equal(0.0))
		a[1].take(slot + 1)
		a[1].report(start, a[0])
		a[0].Advance(start, slot+1)
		Expect(a[0].known()).To(Equal(1.0))
	})

	// Guards against usage reports that leave out the last counts of a window: at 295 instances 397 of 2,600 requests were
	// missing.
	ginkgo.It("says until when the counts of all connected instances are complete", func() {
		a, b := deployment(start)
		exchange(start, a, b)
		later := start.Add(400 * time.Millisecond)
		a[0].report(later, a[1])
		Expect(a[1].CompleteUntil(later, later)).To(BeTemporally("==", start))
		gone := start.Add(2 * time.Second)
		a[0].report(gone, a[1])
		Expect(a[1].CompleteUntil(gone, gone)).To(BeTemporally("==", gone), "silent instances are not waited for")
	})

	// Guards against usage that is counted twice or lost between the instances.
	ginkgo.It("adds up the requests that started elsewhere", func() {
		a, b := deployment(start)
		started := make(Table)
		started.Add("t", 20, 3)
		for _, n := range append(append([]*node{}, a...), b...) {
			n.SetOwn(State{Started: started})
		}
		exchange(start, a, b)
		for _, n := range []*node{a[0], a[3], b[1], b[2]} {
			Expect(n.StartedElsewhere(20)).To(Equal(map[string]float64{"t": 21}), n.name)
		}
	})
})

// Guards against crashes that only the instances which saw them know of, so that no instance has seen enough of them.
var _ = ginkgo.Describe("Evidence of crashes", func() {
	ginkgo.It("reaches the members of other data centres through aggregators", func() {
		a, b := nodesOf("a", 3), nodesOf("b", 3)
		for i, n := range []*node{a[2], b[2]} {
			n.SetOwn(State{Evidence: quarantine.Evidence{Crashes: []quarantine.Crash{{Process: uint64(i + 1), Keys: []quarantine.Key{7}}}}})
		}
		a[2].report(start, a[0])
		b[2].report(start, b[0])
		a[0].summarise(start, b[0])
		later := start.Add(200 * time.Millisecond)
		b[1].ObserveDigest(later, b[0].digest(later, b[1]))
		Expect(b[1].Advance(later, 1).Evidence.Crashes).To(ConsistOf(
			quarantine.Crash{Process: 1, Age: 200 * time.Millisecond, Keys: []quarantine.Key{7}},
			quarantine.Crash{Process: 2, Age: 200 * time.Millisecond, Keys: []quarantine.Key{7}},
		))
	})
})
