package claim

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// fixture runs Shards against a store that answers immediately.
type fixture struct {
	store    *testutil.Store
	now      time.Time
	held     []objectapi.Call // calls for which holdBack returned true; they are not answered
	holdBack func(objectapi.Call) bool
	putTimes []time.Time
}

func (f *fixture) shard(incarnation string) *Shard {
	return NewShard(discardLog, Config{Incarnation: incarnation, Rand: rand.New(rand.NewSource(1))})
}

// run answers the calls of out and of the outputs that follow, and returns all these outputs merged into one.
func (f *fixture) run(s *Shard, out Output) Output {
	all := out
	for calls := out.Calls; len(calls) > 0; {
		call := calls[0]
		calls = calls[1:]
		if f.holdBack != nil && f.holdBack(call) {
			f.held = append(f.held, call)
			continue
		}
		if call.Request.Op == objectapi.OpPut {
			f.putTimes = append(f.putTimes, f.now)
		}
		f.store.Submit(f.now, "x", call)
		for _, delivery := range append(f.store.Advance(f.now), f.store.Advance(f.now)...) {
			next := s.Done(f.now, delivery.Done)
			calls = append(calls, next.Calls...)
			all.Answers = append(all.Answers, next.Answers...)
			all.Acks = append(all.Acks, next.Acks...)
			all.Events = append(all.Events, next.Events...)
		}
	}
	return all
}

// claim requests the claim of the key id for the request H-id from its home.
func (f *fixture) claim(s *Shard, id string, ref uint64) Output {
	return f.run(s, s.Claim(f.now, Request{
		Ref: ref, Key: KeyHash("t", "s", id), RequestID: "H-" + id, From: "H", Retention: time.Hour, Deadline: f.now.Add(time.Minute),
	}))
}

func newFixture() *fixture {
	return &fixture{store: testutil.NewStore(rand.New(rand.NewSource(1)), testutil.Faults{}), now: time.UnixMilli(1_800_000_000_000)}
}

var _ = Describe("log", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("guards against a delayed create that succeeds after its slot number was used, expired and deleted", func() {
		former := f.shard("F")
		Expect(f.run(former, former.SetOwner(f.now, true)).Events).To(ConsistOf(TookOver))
		// Fill the first slot and hold back the creation of the next one.
		f.holdBack = func(c objectapi.Call) bool { return c.Request.Condition.IfAbsent }
		for i := 0; len(f.held) == 0; i++ {
			f.now = f.now.Add(time.Second)
			f.claim(former, fmt.Sprint(i), uint64(i))
			f.run(former, former.Tick(f.now))
		}
		f.holdBack = nil
		// Another instance takes over. Later its oldest slots, also the one with the held number, have expired and are deleted.
		next := f.shard("N")
		Expect(f.run(next, next.SetOwner(f.now, true)).Events).To(ConsistOf(TookOver))
		for i := range 200 {
			f.now = f.now.Add(time.Minute)
			f.claim(next, fmt.Sprint("later", i), uint64(i))
			f.run(next, next.Tick(f.now))
		}
		_, exists := f.store.Object(objectapi.KindClaim, f.held[0].Request.Name)
		Expect(exists).To(BeFalse(), "the held slot number must not be in use")
		out := f.run(former, Output{Calls: f.held})
		Expect(out.Events).To(ConsistOf(SteppedDown))
		Expect(out.Answers).To(HaveEach(HaveField("Verdict", Unavailable)))
	})

	It("guards against a stored answer that is lost when the owner changes", func() {
		owner := f.shard("F")
		f.run(owner, owner.SetOwner(f.now, true))
		f.claim(owner, "k", 1)
		Expect(f.run(owner, owner.Tick(f.now)).Answers).To(ConsistOf(Answer{Ref: 1, Verdict: Granted, Holder: "H-k"}))
		finish := Finish{Ref: 2, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "H", Status: 201, Answer: []byte("paid"), Kept: true}
		f.run(owner, owner.Finish(f.now, finish))
		f.now = f.now.Add(time.Second)
		Expect(f.run(owner, owner.Tick(f.now)).Acks).To(ConsistOf(Ack{Ref: 2, Result: Stored}))
		next := f.shard("N")
		f.run(next, next.SetOwner(f.now, true))
		Expect(f.claim(next, "k", 3).Answers).To(ConsistOf(
			Answer{Ref: 3, Verdict: Finished, Holder: "H-k", Status: 201, Body: []byte("paid"), Kept: true}))
	})

	It("guards against a claim that is released by, or granted again to, an instance that is not its home", func() {
		owner := f.shard("F")
		f.run(owner, owner.SetOwner(f.now, true))
		f.claim(owner, "k", 1)
		f.run(owner, owner.Tick(f.now))
		release := Finish{Ref: 2, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "Successor", Released: true}
		Expect(owner.Finish(f.now, release).Acks).To(ConsistOf(Ack{Ref: 2, Result: Refused}))
		again := Request{Ref: 3, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "Successor", Deadline: f.now.Add(time.Minute)}
		Expect(owner.Claim(f.now, again).Answers).To(ConsistOf(Answer{Ref: 3, Verdict: InProgress, Holder: "H-k"}))
	})

	It("guards against a moved request that is named as the holder of a claim that is not durable or is being released", func() {
		owner := f.shard("F")
		f.run(owner, owner.SetOwner(f.now, true))
		f.claim(owner, "k", 1)
		moved := Request{Ref: 2, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "Successor", Deadline: f.now.Add(time.Minute)}
		Expect(owner.Claim(f.now, moved).Answers).To(ConsistOf(Answer{Ref: 2, Verdict: Unavailable}))
		f.run(owner, owner.Tick(f.now))
		Expect(owner.Claim(f.now, moved).Answers).To(ConsistOf(Answer{Ref: 2, Verdict: InProgress, Holder: "H-k"}))
		release := Finish{Ref: 3, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "H", Released: true}
		Expect(owner.Finish(f.now, release).Acks).To(BeEmpty())
		Expect(owner.Claim(f.now, moved).Answers).To(ConsistOf(Answer{Ref: 2, Verdict: Unavailable}))
	})

	It("guards against a former owner that acknowledges the end of a claim as stored", func() {
		former, owner := f.shard("F"), f.shard("N")
		f.run(former, former.SetOwner(f.now, true))
		f.run(owner, owner.SetOwner(f.now, true))
		f.claim(owner, "k", 1)
		f.run(owner, owner.Tick(f.now))
		finish := Finish{Ref: 2, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "H", Status: 200}
		Expect(former.Finish(f.now, finish).Acks).To(ConsistOf(Ack{Ref: 2, Result: NoClaim}))
	})

	It("guards against a key that expires too early because its retention counts from the claim, not from the deadline", func() {
		owner := f.shard("F")
		f.run(owner, owner.SetOwner(f.now, true))
		start := f.now
		f.claim(owner, "k", 1) // the deadline is in one minute, the retention is one hour
		f.run(owner, owner.Tick(f.now))
		f.now = start.Add(time.Minute)
		other := Request{Key: KeyHash("t", "s", "k"), RequestID: "H-2", From: "H", Retention: time.Hour}
		claimAt := func(at time.Duration) []Answer {
			f.now = start.Add(at + defaultExpiryMargin + time.Second)
			other.Deadline = f.now.Add(time.Minute)
			return owner.Claim(f.now, other).Answers
		}
		Expect(claimAt(time.Hour)).To(ConsistOf(Answer{Verdict: InProgress, Holder: "H-k"}))
		Expect(claimAt(time.Hour+time.Minute)).To(BeEmpty(), "the claim must be queued")
	})

	It("guards against one write per claim: 80 claims per second take at most 4 writes per second", func() {
		owner := f.shard("F")
		f.run(owner, owner.SetOwner(f.now, true))
		f.putTimes = nil
		granted := 0
		for i := range 800 {
			f.now = f.now.Add(12500 * time.Microsecond)
			f.claim(owner, fmt.Sprint(i), uint64(i))
			granted += len(f.run(owner, owner.Tick(f.now)).Answers)
		}
		GinkgoWriter.Printf("800 claims in 10 s: %d granted with %d writes\n", granted, len(f.putTimes))
		Expect(len(f.putTimes)).To(BeNumerically("<=", 41))
		Expect(granted).To(BeNumerically(">=", 780))
	})
})
