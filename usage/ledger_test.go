package usage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Ledger", func() {
	self, other := Source{"a", 1}, Source{"b", 2}
	at := func(s float64) time.Time { return time.Unix(0, int64(s*1e9)) }

	// Guards against counting a request in the wrong window at a window boundary.
	It("counts requests by windows of the wall clock", func() {
		l := NewLedger(5*time.Second, self)
		l.RecordStart(at(4.9), "t")
		l.RecordStart(at(5), "t")
		l.RecordStart(at(9.9), "u")
		Expect(l.Total(0)).To(Equal(Counts{"t": 1}))
		Expect(l.Total(1)).To(Equal(Counts{"t": 1, "u": 1}))
		Expect(l.WindowEnd(1)).To(Equal(at(10)))
	})

	// Guards against usage that is counted twice, or lost, when an instance restarts.
	It("adds up the counts of all process starts of an instance", func() {
		l := NewLedger(5*time.Second, self)
		l.Merge(other, map[int64]Counts{1: {"t": 3}})
		l.Merge(other, map[int64]Counts{1: {"t": 2}}) // an older report that arrives late
		l.Merge(Source{"b", 3}, map[int64]Counts{1: {"t": 4}})
		l.RecordStart(at(6), "t")
		Expect(l.Total(1)).To(Equal(Counts{"t": 8}))
	})

	// Guards against unbounded growth of the ledger.
	It("deletes windows that can no longer be submitted", func() {
		l := NewLedger(5*time.Second, self)
		l.RecordStart(at(1), "t")
		l.RecordStart(at(200), "t")
		Expect(l.Total(0)).To(BeEmpty())
		Expect(l.LocalCounts(at(200))).To(Equal(map[int64]Counts{40: {"t": 1}}))
	})
})
