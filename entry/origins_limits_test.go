package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/streamorigin"
	"knapweedhoist/testutil"
)

var _ = Describe("Origins of streams at the limits of what instances know", func() {
	BeforeEach(func() {
		if !testutil.RunsKnownRed() {
			Skip("listed in KNOWN-RED.txt")
		}
	})

	// Guards against streams whose callers wait for longer than the origins are kept (ORDER).
	It("are not guessed after the lifetime of an origin", func() {
		w := newOriginsWorld(2)
		w.pass(time.Second)
		w.instances[0].origins.Record("old", streamorigin.Origin{Service: originsService, Version: "v1"}, w.now.Add(2*streamorigin.Lifetime))
		w.list("v2")
		w.pass(streamorigin.Lifetime + time.Second)
		Expect(w.find(0, "old")).NotTo(Equal("v2"))
		Expect(w.find(1, "old")).NotTo(Equal("v2"))
	})

	// Guards against streams of endpoints without a version that go on at one with a version after a restart of all (ORDER).
	It("are not guessed if endpoints without a version were replaced while all instances were down", func() {
		w := newOriginsWorld(2)
		w.list("")
		w.pass(time.Second)
		w.killAll(time.Second)
		w.pass(streamorigin.Lifetime + time.Second)
		w.record(0, "old", "")
		w.list("v2")
		w.killAll(2 * time.Second)
		w.pass(time.Second)
		Expect(w.find(0, "old")).NotTo(Equal("v2"))
	})

	// Guards against take-ups that are refused for 30 s at instances that started after the last version left (LOST).
	It("are known at an instance that started near the end of a mix", func() {
		w := newOriginsWorld(3)
		w.list("v1", "v2")
		w.pass(2 * time.Second)
		w.list("v2")
		w.pass(25 * time.Second)
		w.instances[2] = nil
		w.pass(time.Second)
		w.start(2)
		w.pass(6 * time.Second)
		w.record(0, "new", "v2")
		w.pass(time.Second)
		w.instances[2].origins.awaited.Store(1)
		w.pass(time.Second)
		Expect(w.find(1, "new")).To(Equal("v2"))
		Expect(w.find(2, "new")).To(Equal("v2"))
	})

	// Guards against take-ups that are refused because the instance that began the stream was killed before the mix began (LOST).
	It("are known if their instance was killed shortly before another version came", func() {
		w := newOriginsWorld(3)
		w.pass(time.Second)
		w.record(0, "old", "v1")
		w.pass(time.Second)
		w.instances[0] = nil
		w.pass(200 * time.Millisecond)
		w.list("v1", "v2")
		w.pass(200 * time.Millisecond)
		w.instances[1].origins.awaited.Store(1)
		w.pass(time.Second)
		Expect(w.find(1, "old")).To(Equal("v1"))
	})
})
