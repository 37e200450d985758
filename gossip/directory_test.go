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

	// Guards against shares of limits that belong to a machine that was replaced: replace_core.
	ginkgo.It("tells which listed instances are gone, unless it is cut off itself", func() {
		late := start.Add(goneAfter)
		Expect(d.Gone(late)).To(BeEmpty())
		d.Observe(late, report("a", 1, 1))
		d.Observe(late, report("c", 1, 1))
		Expect(d.Gone(late)).To(Equal([]string{"d"}))
	})

	ginkgo.It("forgets an instance that is neither listed nor heard", func() {
		d.Observe(start, report("e", 1, 1))
		d.SetListed(start.Add(time.Second), map[string]string{"a": "a:1"})
		Expect(d.Members()).To(HaveLen(2)) // a, and e for a while
		d.SetListed(start.Add(2*memory), map[string]string{"a": "a:1"})
		Expect(d.Members()).To(HaveLen(1))
	})

	// Guards against figures that go back when datagrams overtake each other.
	ginkgo.It("ignores a report that is older than what is known", func() {
		Expect(d.Observe(start, report("a", 1, 2))).To(BeTrue())
		Expect(d.Observe(start, report("a", 1, 1))).To(BeFalse())
		Expect(d.Observe(start, report("a", 2, 1))).To(BeTrue())
		Expect(d.Observe(start, report("b", 3, 1))).To(BeFalse(), "its own report")
	})

	ginkgo.It("ranks itself among the instances that are heard and stay", func() {
		Expect(d.Rank(start, time.Second)).To(Equal(0))
		d.Observe(start, report("a", 1, 1))
		Expect(d.Rank(start, time.Second)).To(Equal(1))
		leaving := report("a", 1, 2)
		leaving.Leaving = true
		d.Observe(start, leaving)
		Expect(d.Rank(start, time.Second)).To(Equal(0))
	})

	ginkgo.It("adds up the work of the instances that are heard", func() {
		for _, name := range []string{"a", "c"} {
			r := report(name, 1, 1)
			r.Works = []dispatch.Work{{Endpoint: "e", Running: 1, PendingTokens: 10}}
			d.Observe(start, r)
		}
		Expect(d.Work(start, time.Second)).To(Equal(map[string]dispatch.Work{"e": {Running: 2, PendingTokens: 20}}))
		Expect(d.Work(start.Add(2*time.Second), time.Second)).To(BeEmpty())
	})
})
