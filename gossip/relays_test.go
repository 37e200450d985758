package gossip

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/usage"
)

var _ = ginkgo.Describe("Directory.Relays", func() {
	start := time.Unix(1000, 0)
	const maxAge = time.Second
	directory := func(self string, names ...string) *Directory {
		d := NewDirectory(self)
		for _, name := range names {
			d.Observe(start, Report{
				Source: usage.Source{Instance: name, Boot: 1}, Address: name + ":1", DataCentre: "dc-1", Sequence: 1,
			})
		}
		return d
	}

	// Guards against calls to the store that grow with the number of instances: 61 instances made 16,140 in a day.
	ginkgo.It("lets the first instances of a data centre read the store for the others", func() {
		addresses, isRelay := directory("a", "b", "c", "d").Relays(start, maxAge, "dc-1")
		Expect(addresses).To(BeEmpty())
		Expect(isRelay).To(BeTrue())
		addresses, isRelay = directory("d", "a", "b", "c", "e").Relays(start, maxAge, "dc-1")
		Expect(addresses).To(ConsistOf("a:1", "b:1", "c:1"))
		Expect(isRelay).To(BeFalse())
	})

	// Guards against the delay of a relay in a data centre that has no more instances than relays.
	ginkgo.It("lets all instances of a small data centre read the store", func() {
		addresses, isRelay := directory("c", "a", "b").Relays(start, maxAge, "dc-1")
		Expect(addresses).To(BeEmpty())
		Expect(isRelay).To(BeFalse())
	})

	// Guards against reads from an instance that may not answer, and from one in another data centre.
	ginkgo.It("leaves out instances that do not report, are leaving or run in another data centre", func() {
		d := directory("e", "a", "b", "c", "d")
		Expect(d.Relays(start.Add(2*maxAge), maxAge, "dc-1")).To(BeEmpty())
		Expect(d.Relays(start, maxAge, "dc-2")).To(BeEmpty())
		d.Observe(start, Report{
			Source: usage.Source{Instance: "a", Boot: 1}, Address: "a:1", DataCentre: "dc-1", Sequence: 2, Leaving: true,
		})
		Expect(d.Relays(start, maxAge, "dc-1")).To(ConsistOf("b:1", "c:1", "d:1"))
	})

	// Guards against one relay that answers all the reads of its data centre.
	ginkgo.It("spreads the readers over the relays", func() {
		first := make(map[string]int)
		for _, self := range []string{"d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			addresses, _ := directory(self, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l").Relays(start, maxAge, "dc-1")
			first[addresses[0]]++
		}
		Expect(first).To(HaveLen(3))
	})
})
