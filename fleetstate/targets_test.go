package fleetstate

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Choice of aggregators", func() {
	const slot = int64(4000)

	targetNames := func(targets []ReportTarget) []string {
		var all []string
		for _, target := range targets {
			all = append(all, target.Name)
		}
		return all
	}

	// Guards against members that report to different instances, so that no sum is complete.
	ginkgo.It("sends the reports of all members to the same instances, and asks one of them for digests", func() {
		nodes := nodesOf("a", 6)
		asked := map[string]int{}
		for _, n := range nodes[2:] {
			n.list(nodes...)
			targets := n.ReportTargets(start)
			Expect(targetNames(targets)).To(Equal([]string{"a-0", "a-1"}))
			for _, target := range targets {
				if target.WantsDigest {
					asked[target.Name]++
				}
			}
		}
		Expect(asked["a-0"] + asked["a-1"]).To(Equal(4))
	})

	// Guards against members without any state after their aggregators died.
	ginkgo.It("asks other instances while the aggregators do not answer, until one does", func() {
		nodes := nodesOf("a", 8)
		member := nodes[7]
		member.list(nodes...)
		asked := map[string]bool{}
		now := start
		for range 60 {
			for _, target := range member.ReportTargets(now) {
				asked[target.Name] = true
			}
			now = now.Add(100 * time.Millisecond)
		}
		Expect(len(asked)).To(Equal(7))
		nodes[5].list(nodes...)
		member.report(now, nodes[5])
		member.ObserveDigest(now, nodes[5].digest(now, member))
		Expect(targetNames(member.ReportTargets(now))).To(ContainElement("a-5"))
		Expect(member.Advance(now, slot).Share).To(Equal(0.25))
	})

	// Guards against a probed instance that names itself and its prober as the aggregators of the data centre.
	ginkgo.It("learns the aggregators from an instance that is none itself", func() {
		nodes := nodesOf("a", 5)
		for _, n := range nodes {
			n.list(nodes...)
		}
		for _, n := range nodes[1:4] {
			n.report(start, nodes[0], nodes[1])
		}
		nodes[3].ObserveDigest(start, nodes[0].digest(start, nodes[3]))
		nodes[4].report(start, nodes[3])
		digest := nodes[3].digest(start, nodes[4])
		Expect(names(digest.Aggregators)).To(Equal([]string{"a-0", "a-1"}))
		Expect(nodes[3].Advance(start, slot).Share).To(Equal(0.8), "still follows the aggregator")
	})

	// Guards against an aggregator that is left out for good because it once knew less than the other one: it sent no
	// summaries, so that the other data centres did not send it theirs.
	ginkgo.It("stays aggregator while the other one knows more instances", func() {
		a, b := nodesOf("a", 3), nodesOf("b", 1)
		all := append(append([]*node{}, a...), b...)
		for _, n := range all {
			n.list(all...)
		}
		for _, n := range a {
			n.report(start, a[0], a[1])
		}
		b[0].summarise(start, a[1]) // a[0] knows nothing of b
		a[0].ObserveDigest(start, a[1].digest(start, a[0]))
		Expect(a[0].Advance(start, slot).Share).To(Equal(1.0))
		Expect(names(a[0].SummaryTargets(start, 0))).To(Equal([]string{"b-0"}))
		Expect(a[0].IsCandidate(start)).To(BeTrue())
		addresses, isRelay := a[0].Relays(start)
		Expect(addresses).To(BeEmpty())
		Expect(isRelay).To(BeTrue())
		addresses, _ = a[1].Relays(start)
		Expect(addresses).To(Equal([]string{"a-0:1"}))
	})

	// Guards against a leaving instance that stays aggregator and leaves the members without digests when it ends.
	ginkgo.It("leaves out instances that are leaving", func() {
		nodes := nodesOf("a", 4)
		for _, n := range nodes[1:] {
			n.report(start, nodes[0])
		}
		Expect(names(nodes[0].OwnDigest(start, Sender{}, true, 1).Aggregators)).To(Equal([]string{"a-1", "a-2"}))
		leaving := nodes[1].OwnReport(nodes[1].sender(), true)
		nodes[0].ObserveReport(start, leaving)
		Expect(names(nodes[0].OwnDigest(start, Sender{}, false, 1).Aggregators)).To(Equal([]string{"a-0", "a-2"}))
	})

	// Guards against the aggregation of a large data centre on its smallest machines.
	ginkgo.It("ranks instances with more processor time first", func() {
		nodes := nodesOf("a", 4)
		strong := nodes[3].OwnReport(nodes[3].sender(), false)
		strong.Weight = 800
		nodes[0].ObserveReport(start, strong)
		nodes[1].report(start, nodes[0])
		Expect(names(nodes[0].OwnDigest(start, Sender{}, false, 1).Aggregators)).To(Equal([]string{"a-3", "a-0"}))
	})

	// Guards against messages between data centres that grow with the square of their sizes.
	ginkgo.It("sends summaries from aggregators to aggregators", func() {
		a, b := nodesOf("a", 30), nodesOf("b", 30)
		all := append(append([]*node{}, a...), b...)
		sent := 0
		for _, n := range all {
			n.list(all...)
		}
		for _, nodes := range [][]*node{a, b} {
			for _, n := range nodes {
				n.report(start, nodes[0], nodes[1])
			}
			for _, n := range nodes[2:] {
				n.ObserveDigest(start, nodes[0].digest(start, n))
			}
		}
		for _, n := range all {
			sent += len(n.SummaryTargets(start, 0))
		}
		Expect(sent).To(BeNumerically("<=", 12))
		b[7].summarise(start, a[0])
		Expect(names(a[0].SummaryTargets(start, 0))).To(Equal([]string{"b-7"}), "the instance that acts as aggregator there")
	})

	// Guards against an instance in another data centre that gets no summary because the first ones by rank are dead.
	ginkgo.It("tries all listed instances of a data centre that sends no summary", func() {
		a, b := nodesOf("a", 1), nodesOf("b", 9)
		a[0].list(append(append([]*node{}, a...), b...)...)
		tried := map[string]bool{}
		for tick := range 10 {
			for _, peer := range a[0].SummaryTargets(start, tick) {
				tried[peer.Name] = true
			}
		}
		Expect(tried).To(HaveLen(9))
	})

	// Guards against calls to the store that grow with the number of instances, and against a delay in data centres so small
	// that each instance can read the store.
	ginkgo.It("lets aggregators read the store for the other members", func() {
		nodes := nodesOf("a", 4)
		for _, n := range nodes {
			n.report(start, nodes[0], nodes[1])
		}
		nodes[3].ObserveDigest(start, nodes[1].digest(start, nodes[3]))
		addresses, isRelay := nodes[3].Relays(start)
		Expect(addresses).To(ConsistOf("a-0:1", "a-1:1"))
		Expect(isRelay).To(BeFalse())
		addresses, isRelay = nodes[0].Relays(start)
		Expect(addresses).To(BeEmpty())
		Expect(isRelay).To(BeTrue())

		addresses, isRelay = nodes[1].Relays(start)
		Expect(addresses).To(ConsistOf("a-0:1"))
		Expect(isRelay).To(BeTrue())

		pair := nodesOf("b", 2)
		pair[0].list(append(nodesOf("c", 5), pair...)...)
		Expect(pair[0].IsSmallCentre()).To(BeTrue())
		nodes[0].list(nodes...)
		Expect(nodes[0].IsSmallCentre()).To(BeFalse())
		pair[1].report(start, pair[0])
		addresses, isRelay = pair[0].Relays(start)
		Expect(addresses).To(BeEmpty())
		Expect(isRelay).To(BeFalse())
	})

	// Guards against hundreds of instances that contend for one lease, and against none that does.
	ginkgo.It("lets the first instances of two data centres contend for the duties", func() {
		var all []*node
		centres := map[string][]*node{}
		for _, name := range []string{"a", "b", "c", "d"} {
			centres[name] = nodesOf(name, 5)
			all = append(all, centres[name]...)
		}
		contenders := func(now time.Time) (found []string) {
			for _, n := range all {
				n.Advance(now, slot)
				if n.IsCandidate(now) {
					found = append(found, n.name)
				}
			}
			return found
		}
		exchange := func(now time.Time, lost string) {
			for name, nodes := range centres {
				for _, n := range nodes {
					n.list(all...)
					n.report(now, nodes[0], nodes[1])
				}
				for _, n := range nodes[2:] {
					n.ObserveDigest(now, nodes[0].digest(now, n))
				}
				for other := range centres {
					if other != name && other != lost && name != lost {
						nodes[0].summarise(now, centres[other][0], centres[other][1])
					}
				}
			}
		}
		exchange(start, "")
		Expect(contenders(start)).To(Equal([]string{"a-0", "b-0"}))
		later := start.Add(5 * time.Second)
		exchange(later, "a")
		Expect(contenders(later)).To(ContainElements("b-0", "c-0"))
	})

	// Guards against shares of limits that stay reserved for a machine that was replaced: fault replace_core. Guards also
	// against an isolated instance that removes the others.
	ginkgo.It("reports listed instances as dead that send nothing, unless this instance may be cut off", func() {
		nodes := nodesOf("a", 5)
		nodes[0].list(nodes...)
		since := func(string) time.Time { return start }
		late := start.Add(deadAfter)
		Expect(nodes[0].Dead(late, since)).To(BeEmpty())
		for _, n := range nodes[1:4] {
			n.report(late, nodes[0])
		}
		Expect(nodes[0].Dead(late, since)).To(Equal([]string{"a-4"}))
		nodes[0].report(late, nodes[1])
		Expect(nodes[1].Dead(late, since)).To(BeEmpty(), "not the first by rank")
	})

	// Guards against instances that are not told where streams began, and against messages of one to all in large fleets.
	ginkgo.It("names all other instances up to a limit, then those of the data centre", func() {
		near, far := nodesOf("a", 4), nodesOf("b", 3)
		near[1].list(append(near, far...)...)
		Expect(names(near[1].Peers(start, 6))).To(Equal([]string{"a-0", "a-2", "a-3", "b-0", "b-1", "b-2"}))
		Expect(names(near[1].Peers(start, 5))).To(Equal([]string{"a-0", "a-2", "a-3"}))
		Expect(names(near[1].Peers(start, 2))).To(Equal([]string{"a-2", "a-3"}))
		newer := newNode("a-9", "a", 1)
		newer.report(start, near[1])
		far[0].summarise(start, near[1])
		near[1].list(near[0])
		Expect(names(near[1].Peers(start, 6))).To(Equal([]string{"a-0", "a-9", "b-0"}))
	})

	// Guards against traffic of control that grows with the number of instances: each member sends two reports.
	ginkgo.It("keeps the number of messages per member constant", func() {
		for _, size := range []int{5, 60} {
			nodes := nodesOf("a", size)
			for _, n := range nodes {
				n.list(nodes...)
				n.report(start, nodes[0], nodes[1])
			}
			last := nodes[size-1]
			last.ObserveDigest(start, nodes[0].digest(start, last))
			Expect(last.ReportTargets(start)).To(HaveLen(aggregatorCount), fmt.Sprint(size))
			Expect(last.SummaryTargets(start, 0)).To(BeEmpty())
		}
	})
})
