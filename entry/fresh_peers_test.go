package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/fleetstate"
)

// Guards against reads from an instance that has lost the store as well, or that has ended.
var _ = Describe("freshPeers", func() {
	It("lists the instances that reached the store a moment ago, the newest first", func() {
		now, peers := time.Unix(1000, 0), newFreshPeers()
		report := func(address string, version int64, age time.Duration) {
			peers.observe(now, fleetstate.Sender{Address: address, ConfigVersion: version, ConfigAge: age})
		}
		report("old", 1, 2*time.Second)
		report("second", 1, time.Second)
		report("first", 1, 0)
		report("none", 0, 0)
		Expect(peers.addresses(now, 1500*time.Millisecond)).To(Equal([]string{"first", "second"}))
		now = now.Add(time.Second)
		Expect(peers.addresses(now, 1500*time.Millisecond)).To(Equal([]string{"first"}))
	})
})
