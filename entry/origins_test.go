package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/objectapi"
	"knapweedhoist/streamorigin"
)

var _ = Describe("Origins of streams", func() {
	// Guards against calls and messages of deployments whose services have one version each.
	It("cost one read for each instance and one write in calm operation", func() {
		w := newOriginsWorld(3)
		w.pass(time.Second)
		for n := range 1000 {
			w.record(n%3, fmt.Sprint(n), "v1")
		}
		w.pass(time.Minute)
		Expect(w.store.lists).To(Equal(3))
		Expect(w.store.calls).To(Equal(4))
		Expect(w.find(0, "of another instance")).To(Equal("v1"))
	})

	// Guards against streams that join two versions because the store has returned from a copy without what instances shared, and all
	// instances are killed after that.
	It("are written again after a return of the store", func() {
		w := newOriginsWorld(2)
		w.list("v1", "v2")
		w.pass(time.Second)
		w.record(0, "begun", "v1")
		w.pass(time.Second)
		w.store.restore()
		w.pass(time.Second)
		w.list("v2")
		for n := range w.instances {
			w.start(n)
		}
		w.pass(time.Second)
		Expect(w.find(1, "begun")).To(Equal("v1"))
		Expect(w.find(1, "of nobody")).To(BeEmpty())
	})

	// Guards against writes that take the store's rate from the duties while versions are mixed in a large fleet.
	It("cost at most a hundred writes a second while versions are mixed", func() {
		w := newOriginsWorld(40)
		w.list("v1", "v2")
		w.pass(time.Second)
		calls, lists := w.store.calls, w.store.lists
		for step := range 40 {
			for n := range w.instances {
				w.record(n, fmt.Sprint(step, "/", n), "v1")
			}
			w.pass(controlInterval)
		}
		Expect(w.store.lists).To(Equal(lists))
		Expect(w.store.calls - calls).To(And(BeNumerically(">=", 40), BeNumerically("<=", 4*100)))
	})

	// Guards against bursts of calls for which the store refuses the writes of the duties: all instances write at the begin of a mix, remove
	// their objects at its end, and one cleans up those of a whole fleet's former boots.
	It("cost at most a hundred calls a second at the begin, at the end and long after a mix in a large fleet", func() {
		w := newOriginsWorld(130)
		w.pass(2 * time.Second)
		for n := range w.instances {
			w.record(n, fmt.Sprint(n), "v1")
		}
		most := func(length, window time.Duration) int {
			calls, most := []int{w.store.calls}, 0
			for range length / originStoreInterval {
				w.pass(originStoreInterval)
				calls = append(calls, w.store.calls)
				most = max(most, calls[len(calls)-1]-calls[max(len(calls)-1-int(window/originStoreInterval), 0)])
			}
			return most
		}
		w.list("v1", "v2")
		Expect(most(4*time.Second, time.Second)).To(BeNumerically("<=", 101)) // one write of the versions
		w.list("v2")
		Expect(most(streamorigin.Lifetime+4*time.Second, time.Second)).To(BeNumerically("<=", 101))
		Expect(w.store.objects).To(HaveLen(1))
		for n := range w.instances {
			w.store.objects[fmt.Sprint("former-", n)] = objectapi.Object{Name: fmt.Sprint("former-", n), Version: 1}
		}
		clear(w.instances[1:]) // the first one cleans up
		Expect(most(5*streamorigin.Lifetime, time.Second)).To(BeNumerically("<=", 12))
		Expect(w.store.objects).To(HaveLen(1))
	})

	// Guards against streams that go on at another version, or not at all, at an instance that did not begin them (ORDER, LOST).
	It("are known to the other instances while versions are mixed, with the store away too", func() {
		w := newOriginsWorld(3)
		w.pass(time.Second)
		w.record(0, "before the mix", "v1")
		w.list("v1", "v2")
		w.pass(200 * time.Millisecond)
		w.store.away = true
		w.record(1, "v1", "v1")
		w.record(1, "v2", "v2")
		w.pass(200 * time.Millisecond)
		for n := range w.instances {
			Expect(w.find(n, "before the mix")).To(Equal("v1"))
			Expect(w.find(n, "v1")).To(Equal("v1"))
			Expect(w.find(n, "v2")).To(Equal("v2"))
			Expect(w.find(n, "unknown")).To(BeEmpty())
		}
	})

	// Guards against streams of the former version that go on at the new one after a restart of all instances (ORDER).
	DescribeTable("outlive the end of all instances at once", func(during, after []string) {
		w := newOriginsWorld(2)
		w.pass(time.Second)
		w.list(during...)
		w.pass(time.Second)
		w.record(0, "old", "v1")
		w.pass(500 * time.Millisecond)
		w.list(after...)
		w.killAll(2 * time.Second)
		Expect(w.find(1, "old")).To(BeEmpty()) // not read yet
		w.pass(200 * time.Millisecond)
		for n := range w.instances {
			Expect(w.find(n, "old")).To(Equal("v1"))
			Expect(w.find(n, "unknown")).To(BeEmpty())
		}
		w.pass(streamorigin.Lifetime)
		if len(after) == 1 {
			Expect(w.find(0, "unknown")).To(Equal(after[0]))
		}
	},
		Entry("with both versions in service", []string{"v1", "v2"}, []string{"v1", "v2"}),
		Entry("with the old version gone meanwhile", []string{"v1", "v2"}, []string{"v2"}),
		Entry("with the old version gone before", []string{"v2"}, []string{"v2"}),
	)

	// Guards against take-ups that are refused because an object of a former boot lets a version count that left long ago (LOST).
	It("are known after a restart of all instances long after the end of a mix", func() {
		w := newOriginsWorld(2)
		w.list("v1", "v2")
		w.pass(time.Second)
		w.record(1, "old", "v1")
		w.pass(time.Second)
		w.start(1) // its former boot's object stays
		w.list("v2")
		w.pass(streamorigin.Lifetime + 15*time.Second)
		Expect(w.store.objects).To(HaveKey("i1-2"))
		w.killAll(2 * time.Second)
		w.pass(time.Second)
		Expect(w.find(0, "new")).To(Equal("v2"))
	})

	// Guards against streams that count as too old because clocks differ (ORDER).
	DescribeTable("outlive the end of all instances if their clocks differ", func(offset time.Duration) {
		w := newOriginsWorld(2)
		w.list("v1", "v2")
		w.pass(time.Second)
		w.record(1, "old", "v1")
		w.pass(time.Second)
		w.list("v2")
		w.pass(streamorigin.Lifetime - 10*time.Second)
		w.killAll(time.Second)
		w.instances[0].clockOffset = offset
		w.pass(time.Second)
		Expect(w.find(0, "old")).To(Equal("v1"))
		w.pass(streamorigin.Lifetime)
		Expect(w.find(0, "new")).To(Equal("v2"))
	},
		Entry("and the reader is ahead", 9*time.Second),
		Entry("and the reader is behind", -time.Hour),
	)

	// Guards against streams that are missing in the store for good because a write failed (LOST).
	It("are written again if the store refused them", func() {
		w := newOriginsWorld(2)
		w.list("v1", "v2")
		w.pass(time.Second)
		w.store.writesAway = true
		w.record(0, "old", "v1")
		w.pass(time.Second)
		w.store.writesAway = false
		w.pass(2 * time.Second)
		w.killAll(time.Second)
		w.pass(200 * time.Millisecond)
		Expect(w.find(1, "old")).To(Equal("v1"))
	})

	// Guards against a version that nobody saw leaving, because it was replaced while no instance ran (ORDER).
	It("are unknown if the version was replaced while all instances were down", func() {
		w := newOriginsWorld(2)
		w.pass(time.Second)
		w.record(0, "old", "v1")
		w.list("v2")
		w.killAll(2 * time.Second)
		w.pass(200 * time.Millisecond)
		Expect(w.find(0, "old")).To(BeEmpty())
		w.pass(streamorigin.Lifetime)
		Expect(w.find(0, "new")).To(Equal("v2"))
	})

	// Guards against a version that came and went while the instance was cut off (ORDER).
	It("are not guessed by an instance that was cut off", func() {
		w := newOriginsWorld(3)
		w.pass(time.Second)
		w.instances[2].cut = true
		w.list("v2")
		w.pass(time.Second)
		w.record(0, "new", "v2")
		w.pass(2 * time.Second)
		Expect(w.find(2, "new")).To(BeEmpty())
		w.list("v1")
		w.pass(time.Second)
		w.instances[2].cut = false
		Expect(w.find(2, "new")).To(BeEmpty())
		w.pass(200 * time.Millisecond)
		Expect(w.find(2, "new")).To(Equal("v2"))
	})

	// Guards against streams of a new version that go on at the former one at a connected instance whose watch of the endpoints is
	// silent (ORDER).
	DescribeTable("are not guessed by a connected instance that has not read the new version's entry",
		func(instances, behind, ownStreams int, arrange func(*originsWorld)) {
			w := newOriginsWorld(instances)
			w.pass(time.Second)
			for n := range ownStreams {
				w.record(0, fmt.Sprint("before ", n), "v1")
			}
			w.instances[behind].behind = true
			w.list("v1", "v2")
			w.pass(2 * controlInterval)
			w.record(0, "new", "v2")
			arrange(w)
			for range 16 {
				w.pass(controlInterval)
				Expect(w.find(behind, "new")).NotTo(Equal("v1"))
			}
		},
		Entry("with few streams", 3, 2, 10, func(*originsWorld) {}),
		Entry("while 6,000 streams begun before wait to be sent", 3, 2, 6000, func(*originsWorld) {}),
		Entry("that gets no messages about the streams in a large fleet", 40, 35, 10, func(*originsWorld) {}),
		Entry("of an instance that is killed before its next message", 3, 2, 10, func(w *originsWorld) {
			w.detection = time.Second
			w.instances[0] = nil
		}),
	)

	// Guards against streams that go on at the former version at a connected instance whose watch stays silent, and to which no
	// message about the new version gets (ORDER).
	It("are not guessed by a connected instance whose endpoints are too old", func() {
		w := newOriginsWorld(3)
		w.pass(time.Second)
		w.lose = func() bool { return true }
		w.instances[2].behind = true
		w.list("v1", "v2")
		w.pass(2500 * time.Millisecond)
		w.record(0, "new", "v2")
		w.pass(controlInterval)
		Expect(w.find(2, "new")).To(BeEmpty())
	})

	// Guards against take-ups that are refused while the store is away for all and there is one version (LOST).
	It("are known for a service with one version while the store is away", func() {
		w := newOriginsWorld(3)
		w.pass(time.Second)
		w.store.away = true
		w.pass(5 * time.Second)
		Expect(w.find(1, "old")).To(Equal("v1"))
	})

	// Guards against an instance that knows the endpoints after its start, but not what others shared (ORDER).
	It("are not guessed before the shared entries were read", func() {
		w := newOriginsWorld(2)
		w.list("v1", "v2")
		w.pass(time.Second)
		w.list("v2")
		w.store.listsAway = true
		w.killAll(2 * time.Second)
		w.pass(5 * time.Second)
		Expect(w.find(0, "old")).To(BeEmpty())
	})

	// Guards against objects that stay in the store for good, and against the deletion of those that are needed.
	It("leave the store when they are too old", func() {
		w := newOriginsWorld(2)
		w.list("v1", "v2")
		w.pass(time.Second)
		w.record(0, "a", "v1")
		w.record(1, "b", "v2")
		w.pass(time.Second)
		w.killAll(time.Second)
		w.list("v2")
		w.pass(streamorigin.Lifetime / 2)
		Expect(slices.Collect(maps.Keys(w.store.objects))).To(ConsistOf("versions", "i0-1", "i1-2"))
		w.pass(5 * streamorigin.Lifetime)
		Expect(slices.Collect(maps.Keys(w.store.objects))).To(ConsistOf("versions"))
		calls := w.store.calls
		w.pass(time.Minute)
		Expect(w.store.calls).To(Equal(calls))
	})

	// Guards against a stream that goes on at a version other than its own (ORDER), over kills, cuts, outages, and lost messages.
	It("are never wrong", func() {
		rapid.Check(GinkgoT(), checkOrigins(0))
	})

	// Guards against the same where an instance finds out late that it or another one is cut off. It may be wrong only until it reads the
	// endpoints, gets a message, or finds out.
	It("are never wrong at instances that can know it", func() {
		rapid.Check(GinkgoT(), checkOrigins(600*time.Millisecond))
	})
})

// checkOrigins plays a random day. A version that is new is in service for a second with the store and the first instance up before
// the versions change again; otherwise nobody can know that it was there. Instances find out after the time detection that one is gone
// or cut off.
func checkOrigins(detection time.Duration) func(*rapid.T) {
	return func(t *rapid.T) { playOrigins(t, detection) }
}

func playOrigins(t *rapid.T, detection time.Duration) {
	w := newOriginsWorld(3)
	w.detection = detection
	w.lose = func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") < 3 }
	began, beganAt := map[string]string{}, map[string]time.Time{}
	downUntil := make([]time.Time, len(w.instances))
	var settled time.Duration
	waiting := int64(rapid.IntRange(0, 1).Draw(t, "waiting"))
	w.pass(time.Second)
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		switch n := rapid.IntRange(0, len(w.instances)-1).Draw(t, "instance"); rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			if settled >= time.Second {
				w.list([][]string{{"v1"}, {"v2"}, {"v1", "v2"}, {"v2", "v3"}, {"v3"}}[rapid.IntRange(0, 4).Draw(t, "versions")]...)
				settled = 0
			}
		case 1:
			w.store.away = !w.store.away
		case 2:
			for n := range w.instances {
				if rapid.Bool().Draw(t, "killed") {
					w.instances[n], downUntil[n] = nil, w.now.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "seconds"))*time.Second)
				}
			}
		case 3:
			if w.instances[n] != nil {
				w.instances[n].cut = !w.instances[n].cut
			}
		case 4, 5, 6:
			if w.instances[n] != nil && len(w.instances[n].seen) > 0 {
				versions := slices.SortedFunc(maps.Keys(w.instances[n].seen), func(a, b streamorigin.Origin) int { return cmp.Compare(a.Version, b.Version) })
				id, origin := fmt.Sprint(len(began)), rapid.SampledFrom(versions).Draw(t, "origin")
				began[id], beganAt[id] = origin.Version, w.now
				w.record(n, id, origin.Version)
			}
		default:
			length := time.Duration(rapid.IntRange(1, 30).Draw(t, "time")) * controlInterval
			w.pass(length)
			if !w.store.away && w.instances[0] != nil && !w.instances[0].cut {
				settled += length
			}
		}
		for n, until := range downUntil {
			if w.instances[n] == nil && !w.now.Before(until) {
				w.start(n)
			}
		}
		for n := range w.instances {
			if w.instances[n] == nil {
				continue
			}
			w.instances[n].origins.awaited.Store(waiting)
			for id, version := range began {
				if found := w.find(n, id); w.now.Sub(beganAt[id]) < streamorigin.Lifetime && found != "" && found != version && w.canKnow(n, version) {
					t.Fatalf("instance %d continues stream %s of %s at %s", n, id, version, found)
				}
			}
		}
	}
}

// Guards against a request that fails although another instance is about to tell the origin (LOST), and against one that waits for an
// origin that nobody knows.
func TestRequestWaitsForAnOrigin(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newOriginsWorld(1)
		o := w.instances[0].origins
		found, begin := make(chan streamorigin.Origin), time.Now()
		go func() {
			origin, _ := o.Find(context.Background(), "a", originsService)
			found <- origin
		}()
		synctest.Wait()
		origin := streamorigin.Origin{Service: originsService, Version: "v1"}
		o.learn(streamorigin.Statement{Entries: []streamorigin.Entry{{Key: streamorigin.KeyOf("a"), Origin: origin, Remaining: time.Second}}})
		if got := <-found; got != origin || time.Since(begin) != 0 {
			t.Errorf("found %v after %v", got, time.Since(begin))
		}
		if _, err := o.Find(context.Background(), "b", originsService); !errors.Is(err, streamorigin.ErrUnknown) || time.Since(begin) != findLimit {
			t.Errorf("%v after %v", err, time.Since(begin))
		}
	})
}
