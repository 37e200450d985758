package endpointlimit

import (
	"math"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Limits", func() {
	start := time.Unix(1_800_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	named := func(perSecond float32) Statement { return Statement{Kind: Named, PerSecond: perSecond} }
	// taken returns the number of turns that are due and taken in steps of a millisecond.
	taken := func(l *Limits, from time.Time, d time.Duration) (n int) {
		for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
			if l.Wait(now, process) == 0 {
				l.Take(now, process)
				n++
			}
		}
		return n
	}

	// Guards against an old limit that supersedes a newer one or its end, and against values of a faulty server that end one.
	It("keep the newest valid statement, whoever was told", func() {
		l := New()
		l.Observe(start, start, process, named(2))
		_, changed := l.Observe(at(time.Second), at(time.Second), process, Statement{Kind: Invalid})
		Expect(changed).To(BeFalse())
		l.Observe(at(2*time.Second), at(2*time.Second), process, Statement{Kind: Absent})
		Expect(l.Merge(at(3*time.Second), Records{{Process: process, PerSecond: 2, Age: 2 * time.Second}})).To(BeEmpty())
		Expect(l.InForce()).To(BeZero())
		Expect(l.Merge(at(3*time.Second), Records{{Process: process, PerSecond: 3, Age: time.Millisecond}})).To(Equal(
			[]Change{{Process: process, PerSecond: 3}}))
		Expect(l.Merge(at(4*time.Second), Records{{Process: process, Ended: true}})).To(HaveLen(1))
		Expect(l.Records(at(5*time.Second), 9)).To(Equal(Records{{Process: process, Ended: true, Age: time.Second}}))
		stricter := Records{{Process: 1, PerSecond: 2}, {Process: 2, Ended: true}}
		Expect(Merge(Records{{Process: 1, PerSecond: 3}, {Process: 2, PerSecond: 9}}, stricter)).To(Equal(
			Records{{Process: 1, PerSecond: 2}, {Process: 2, PerSecond: 9}}))
	})

	// Guards against an answer that was written before a limit began, or at a former rate, and lifts it because it is read later.
	It("are not lifted by an answer to a request that was sent before they were stated last", func() {
		l := New()
		l.Observe(start, start, process, named(2))
		for _, earlier := range []Statement{{Kind: Absent}, named(9)} {
			_, changed := l.Observe(at(time.Second), at(-time.Second), process, earlier)
			Expect(changed).To(BeFalse())
			Expect(l.Records(at(time.Second), 9)).To(Equal(Records{{Process: process, PerSecond: 2, Age: time.Second}}))
		}
		l.Observe(at(3*time.Second), at(2*time.Second), process, Statement{Kind: Absent})
		Expect(l.InForce()).To(BeZero())
		Expect(l.Records(at(3*time.Second), 9)).To(Equal(Records{{Process: process, Ended: true, Age: time.Second}}))

		other := New()
		other.Observe(at(2500*time.Millisecond), at(2400*time.Millisecond), process, named(2))
		Expect(other.Merge(at(3*time.Second), l.Records(at(3*time.Second), 9))).To(BeEmpty())
		Expect(other.InForce()).To(Equal(1))
	})

	// Guards against a limit that returns with an instance which was cut off until its end had been forgotten.
	It("do not take over a limit that was stated so long ago that its end may be forgotten", func() {
		l, cutOff := New(), New()
		for _, known := range []*Limits{l, cutOff} {
			known.Observe(start, start, process, named(2))
		}
		l.Observe(at(2*time.Second), at(time.Second), process, Statement{Kind: Absent})
		forgotten := at(2*time.Second + retention)
		l.Sweep(forgotten, func(uint64) bool { return true })
		Expect(l.Records(forgotten, 9)).To(BeEmpty())
		Expect(l.Merge(forgotten, cutOff.Records(forgotten, 9))).To(BeEmpty())
		Expect(l.InForce()).To(BeZero())
	})

	// Guards against a report that grows without bound, and against limits that are kept for ever.
	It("are bounded and forgotten", func() {
		l := New()
		for i := range uint64(maxProcesses + 1) {
			l.Observe(at(time.Duration(i)), at(time.Duration(i)), i, named(1))
		}
		Expect(l.InForce()).To(Equal(maxProcesses))
		records := l.Records(start, MaxRecords)
		Expect(records).To(HaveLen(MaxRecords))
		Expect(records[0].Process).To(Equal(uint64(maxProcesses - 1)))
		Expect(Merge(records, Records{{Process: math.MaxUint64}})).To(HaveLen(MaxRecords))
		reported := make(map[uint64]bool)
		for range 2 * maxProcesses / MaxRecords {
			for _, record := range l.Records(start, MaxRecords) {
				reported[record.Process] = true
			}
		}
		Expect(reported).To(HaveLen(maxProcesses))
		l.Sweep(at(2*time.Minute), func(process uint64) bool { return process < 7 })
		Expect(l.InForce()).To(Equal(7))
	})

	// Guards against turns of a former, higher limit that are used after it has fallen, and against a limit of 0 that never ends.
	It("apply a lower limit at once and try a limit of 0 rarely", func() {
		l := New()
		l.Observe(start, start, process, named(50))
		Expect(taken(l, start, 10*time.Second)).To(BeNumerically("~", 475, 3))
		l.Observe(at(20*time.Second), at(20*time.Second), process, named(1)) // unused turns of 10 s
		Expect(taken(l, at(20*time.Second), 4*time.Second)).To(BeNumerically("<=", 5))
		l.Observe(at(24*time.Second), at(24*time.Second), process, named(0))
		Expect(taken(l, at(24*time.Second), 100*time.Second)).To(BeNumerically("~", 9, 2))
	})

	// Guards against a burst of unused turns.
	It("let unused turns lapse", func() {
		l := New()
		l.Observe(start, start, process, named(2))
		Expect(taken(l, at(time.Minute), time.Millisecond)).To(BeNumerically("<=", 4))
	})

	// Guards against an endpoint that gets nothing, or everything, after the estimated time of day was corrected.
	DescribeTable("divide the limit after a correction of the time of day", func(correction time.Duration) {
		l := New()
		l.SetShare(start, Share{Instances: 2, Rank: 1, FleetTime: start})
		l.Observe(start, start, process, named(10))
		taken(l, start, 2*time.Second)
		l.SetShare(at(2*time.Second), Share{Instances: 2, Rank: 1, FleetTime: at(2*time.Second + correction)})
		Expect(taken(l, at(2*time.Second), 10*time.Second)).To(BeNumerically("~", 10*4.75, 6))
	}, Entry("forward", time.Hour), Entry("back", -time.Hour), Entry("forward by seconds", 10*time.Second), Entry("back by a second", -time.Second),
		Entry("back by seconds", -10*time.Second), Entry("back by less than a minute", -59*time.Second))

	// Guards against turns that are used twice because the number of instances changes again and again.
	It("keep the sum within the bound while the number of instances changes", func() {
		const (
			instances, perSecond = 75, 10
			most                 = 1.5*perSecond*4 + 5
			changesFrom          = 8 * time.Second
		)
		for offset := range 10 {
			begin := at(time.Duration(offset) * 137 * time.Second)
			var all []*Limits
			for rank := range instances {
				l := New()
				l.SetShare(begin, Share{Instances: instances, Rank: rank, FleetTime: begin})
				l.Observe(begin, begin, process, named(perSecond))
				all = append(all, l)
			}
			var sent []time.Duration
			for d := time.Duration(0); d < 16*time.Second; d += 10 * time.Millisecond {
				now, gone := begin.Add(d), int(max(d-changesFrom, 0)/time.Second)%2
				for rank, l := range all[gone:] {
					l.SetShare(now, Share{Instances: instances - gone, Rank: rank, FleetTime: now})
					if l.Wait(now, process) == 0 {
						l.Take(now, process)
						sent = append(sent, d)
					}
				}
			}
			for i := range sent {
				n, _ := slices.BinarySearch(sent[i:], sent[i]+4*time.Second)
				Expect(float64(n)).To(BeNumerically("<=", most), "offset %d, from %v", offset, sent[i])
			}
		}
	})
})
