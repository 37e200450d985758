package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/rendezvous"
)

// choose calls rendezvous.Choose for members that are their own names.
func choose(key string, members []string, n int) []string {
	return rendezvous.Choose(key, members, n, func(member string) string { return member })
}

func TestRendezvous(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rendezvous")
}

var _ = Describe("Choose", func() {
	members := make([]string, 60)
	for i := range members {
		members[i] = fmt.Sprintf("entry-%d", i)
	}

	It("guards against a choice that depends on the order of members, or that moves keys between members that stay", func() {
		for key := range 200 {
			name := fmt.Sprint(key)
			chosen := choose(name, members, 2)
			reversed := slices.Clone(members)
			slices.Reverse(reversed)
			Expect(choose(name, reversed, 2)).To(Equal(chosen))
			without := slices.DeleteFunc(reversed, func(m string) bool { return m == chosen[0] })
			Expect(choose(name, without, 1)).To(Equal(chosen[1:]))
		}
	})

	It("guards against an uneven distribution of keys over the members", func() {
		owned := map[string]int{}
		for key := range 6000 {
			owned[choose(fmt.Sprint(key), members, 1)[0]]++
		}
		Expect(owned).To(HaveLen(60))
		for _, n := range owned {
			Expect(n).To(BeNumerically("~", 100, 50))
		}
	})

	It("guards against a panic with fewer members than requested owners", func() {
		Expect(choose("k", []string{"a"}, 2)).To(Equal([]string{"a"}))
	})
})
