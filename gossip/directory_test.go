package gossip

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/dispatch"
	"knapweedhoist/usage"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gossip")
}

var _ = ginkgo.Describe("Directory", func() {
	start := time.Unix(1000, 0)
	var d *Directory
	report := func(name string, boot, sequence uint64) Report {
		return Report{Source: usage.Source{Instance: name, Boot: boot}, Address: name + ":1", Sequence: sequence}
	}

	ginkgo.BeforeEach(func() {
		d = NewDirectory("b")
		d.SetListed(start, map[string]string{"a": "a:1", "b": "b:1", "c": "c:1", "d": "d:1"})
	})

	// Guards against shares of limits that stay reserved for a machine that was replaced: fault replace_core.
	ginkgo.It("returns the listed instances that are dead, unless this instance may be cut off itself", func() {
		late := start.Add(deadAfter)
		Expect(d.Dead(late)).To(BeEmpty())
		d.Observe(late, report("a", 1, 1))
		d.Observe(late, report("c", 1, 1))
		Expect(d.Dead(late)).To(Equal([]string{"d"}))
	})

	// Guards against shares of limits that stay reserved for an instance that was removed from the store.
	ginkgo.It("removes an instance that is not listed and no longer reports", func() {
		d.Observe(start, report("e", 1, 1))
		d.SetListed(start.Add(time.Second), map[string]string{"a": "a:1"})
		Expect(d.Members()).To(HaveLen(2)) // a, and e until unlistedRetention has passed
		d.SetListed(start.Add(2*unlistedRetention), map[string]string{"a": "a:1"})
		Expect(d.Members()).To(HaveLen(1))
	})

	// Guards against totals that decrease when datagrams arrive out of order.
	ginkgo.It("ignores a report that is older than the stored one", func() {
		Expect(d.Observe(start, report("a", 1, 2))).To(BeTrue())
		Expect(d.Observe(start, report("a", 1, 1))).To(BeFalse())
		Expect(d.Observe(start, report("a", 2, 1))).To(BeTrue())
		Expect(d.Observe(start, report("b", 3, 1))).To(BeFalse(), "its own report")
	})

	// Guards against a lease of the duties for which no instance contends because the first ones by name are stopping.
	ginkgo.It("ranks this instance among the instances that report and are not leaving", func() {
		Expect(d.Rank(start, time.Second)).To(Equal(0))
		d.Observe(start, report("a", 1, 1))
		Expect(d.Rank(start, time.Second)).To(Equal(1))
		leaving := report("a", 1, 2)
		leaving.Leaving = true
		d.Observe(start, leaving)
		Expect(d.Rank(start, time.Second)).To(Equal(0))
	})

	// Guards against a choice of endpoints by the work that an instance reported before it stopped reporting.
	ginkgo.It("adds up the work of the instances that report", func() {
		for _, name := range []string{"a", "c"} {
			r := report(name, 1, 1)
			r.Work = []dispatch.Work{{Endpoint: "e", Running: 1, PendingTokens: 10}}
			d.Observe(start, r)
		}
		Expect(d.Work(start, time.Second)).To(Equal(map[string]dispatch.Work{"e": {Running: 2, PendingTokens: 20}}))
		Expect(d.Work(start.Add(2*time.Second), time.Second)).To(BeEmpty())
	})
})
