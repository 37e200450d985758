package reach

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an instance that gets the requests of all cut ones because it was the first to answer, and against requests that go
// again and again to instances that are cut off as well.
func TestChoose(t *testing.T) {
	g := NewWithT(t)
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	reaches := map[string]bool{"a": true, "b": true, "c": true, "d": true}
	p := NewPeers()
	p.Set(now, []string{"a", "b", "c", "d", "cut-1", "cut-2", "cut-3", "cut-4"})
	passed, refused := make(map[string]int), 0
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		for _, peer := range p.Choose(now, 3, rng.Float64) {
			if reaches[peer] {
				p.Passed(now, peer)
				passed[peer]++
				break
			}
			p.Failed(now, peer)
			refused++
		}
	}
	g.Expect(passed).To(HaveLen(4))
	for peer, count := range passed {
		g.Expect(count).To(BeNumerically("~", 100, 30), peer)
	}
	g.Expect(refused).To(BeNumerically("<=", 4*5), "each cut instance is tried about once a second")
	g.Expect(p.Choose(now, 2, rng.Float64)).To(HaveLen(2))
	p.Set(now, nil)
	g.Expect(p.Choose(now, 3, rng.Float64)).To(BeEmpty())
}
