package quarantine

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Unanswered crashes", func() {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// Guards against sound keys that are held responsible after a restart, since only their answers are lost with it.
	ginkgo.It("have the keys that were not answered since", func() {
		g := NewGuard(Config{})
		g.RecordCrash(at(0), 1, Request{Key: RequestKey(1), Parts: []Key{first, crashing}})
		g.RecordCrash(at(10), 2, Request{Parts: []Key{first}})
		g.RecordAnswer(at(100), with(first))
		Expect(g.Unanswered(at(200))).To(Equal([]Crash{{Process: 1, Age: 200 * time.Millisecond, Keys: []Key{crashing, RequestKey(1)}}}))
	})

	// Guards against a popular part that is held responsible after a restart, since its next answer came after the last write.
	ginkgo.It("have keys that were answered before only if no answer follows", func() {
		g := NewGuard(Config{})
		g.RecordAnswer(at(0), with(first))
		g.RecordCrash(at(100), 1, with(first, crashing))
		Expect(g.Unanswered(at(200))).To(HaveExactElements(HaveField("Keys", []Key{crashing})))
		Expect(g.Unanswered(at(900))).To(HaveExactElements(HaveField("Keys", []Key{first, crashing})))
	})

	ginkgo.It("are none that a quarantine explains, and none that are too old", func() {
		g := NewGuard(Config{})
		crashes(g, start, 3, with(crashing))
		g.RecordCrash(at(400), 9, with(other))
		g.Update(at(2000))
		Expect(g.Unanswered(at(2000))).To(HaveExactElements(HaveField("Process", uint64(9))))
		Expect(g.Unanswered(at(1000 * 1000))).To(BeEmpty())
	})

	// Guards against an object of the store that grows with the crashes.
	ginkgo.It("are bounded, the newest first", func() {
		g := NewGuard(Config{})
		for n := range 2 * maxUnansweredCrashes {
			request := Request{Key: RequestKey(uint64(n + 1))}
			for k := range 16 {
				request.Parts = append(request.Parts, PartKey(uint64(100*n+k+1)))
			}
			g.RecordCrash(at(n), uint64(n+1), request)
		}
		unanswered, keys := g.Unanswered(at(100)), 0
		for _, crash := range unanswered {
			keys += len(crash.Keys)
		}
		Expect(keys).To(BeNumerically("<=", maxUnansweredKeys))
		Expect(unanswered[0].Process).To(BeEquivalentTo(2 * maxUnansweredCrashes))
	})
})
