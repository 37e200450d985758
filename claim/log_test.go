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

// bench holds shards over a store that answers at once.
type bench struct {
	store  *testutil.Store
	now    time.Time
	held   []objectapi.Call // calls that are held back instead of being answered
	hold   func(objectapi.Call) bool
	starts []time.Time
}

func (b *bench) shard(incarnation string) *Shard {
	return NewShard(discardLog, Config{Incarnation: incarnation, Rand: rand.New(rand.NewSource(1))})
}

// run answers the calls of an output, and those that follow, and returns all outputs as one.
func (b *bench) run(s *Shard, out Output) Output {
	all := out
	for calls := out.Calls; len(calls) > 0; {
		call := calls[0]
		calls = calls[1:]
		if b.hold != nil && b.hold(call) {
			b.held = append(b.held, call)
			continue
		}
		if call.Request.Op == objectapi.OpPut {
			b.starts = append(b.starts, b.now)
		}
		b.store.Submit(b.now, "x", call)
		for _, delivery := range append(b.store.Advance(b.now), b.store.Advance(b.now)...) {
			next := s.Done(b.now, delivery.Done)
			calls = append(calls, next.Calls...)
			all.Answers = append(all.Answers, next.Answers...)
			all.Acks = append(all.Acks, next.Acks...)
			all.Events = append(all.Events, next.Events...)
		}
	}
	return all
}

func (b *bench) ask(s *Shard, id string, ref uint64) Output {
	return b.run(s, s.Ask(b.now, Ask{
		Ref: ref, Key: KeyHash("t", "s", id), RequestID: "H-" + id, From: "H", Retention: time.Hour, Deadline: b.now.Add(time.Minute),
	}))
}

func newBench() *bench {
	return &bench{store: testutil.NewStore(rand.New(rand.NewSource(1)), testutil.Faults{}), now: time.UnixMilli(1_800_000_000_000)}
}

var _ = Describe("the log", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	It("guards against a create that is delayed until its slot number was used, expired and deleted", func() {
		former := b.shard("F")
		Expect(b.run(former, former.SetOwner(b.now, true)).Events).To(ConsistOf(TookOver))
		// Fill the first slot, and hold back the create of the next one.
		b.hold = func(c objectapi.Call) bool { return c.Request.Condition.IfAbsent }
		for i := 0; len(b.held) == 0; i++ {
			b.now = b.now.Add(time.Second)
			b.ask(former, fmt.Sprint(i), uint64(i))
			b.run(former, former.Tick(b.now))
		}
		b.hold = nil
		// Another instance takes over; much later, all slots but its last one are expired and deleted.
		next := b.shard("N")
		Expect(b.run(next, next.SetOwner(b.now, true)).Events).To(ConsistOf(TookOver))
		for i := range 200 {
			b.now = b.now.Add(time.Minute)
			b.ask(next, fmt.Sprint("later", i), uint64(i))
			b.run(next, next.Tick(b.now))
		}
		_, exists := b.store.Object(objectapi.KindClaim, b.held[0].Request.Name)
		Expect(exists).To(BeFalse(), "the slot number is free again")
		out := b.run(former, Output{Calls: b.held})
		Expect(out.Events).To(ConsistOf(SteppedDown))
		Expect(out.Answers).To(HaveEach(HaveField("Verdict", Unavailable)))
	})

	It("guards against an answer that is lost with its owner", func() {
		owner := b.shard("F")
		b.run(owner, owner.SetOwner(b.now, true))
		b.ask(owner, "k", 1)
		Expect(b.run(owner, owner.Tick(b.now)).Answers).To(ConsistOf(Answer{Ref: 1, Verdict: Granted, Holder: "H-k"}))
		finish := Finish{Ref: 2, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "H", Status: 201, Answer: []byte("paid"), Kept: true}
		b.run(owner, owner.Finish(b.now, finish))
		b.now = b.now.Add(time.Second)
		Expect(b.run(owner, owner.Tick(b.now)).Acks).To(ConsistOf(Ack{Ref: 2, Result: Stored}))
		next := b.shard("N")
		b.run(next, next.SetOwner(b.now, true))
		Expect(b.ask(next, "k", 3).Answers).To(ConsistOf(
			Answer{Ref: 3, Verdict: Finished, Holder: "H-k", Status: 201, Body: []byte("paid"), Kept: true}))
	})

	It("guards against a claim of a home that is gone being released by another instance", func() {
		owner := b.shard("F")
		b.run(owner, owner.SetOwner(b.now, true))
		b.ask(owner, "k", 1)
		b.run(owner, owner.Tick(b.now))
		release := Finish{Ref: 2, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "Successor", Released: true}
		Expect(owner.Finish(b.now, release).Acks).To(ConsistOf(Ack{Ref: 2, Result: Refused}))
		again := Ask{Ref: 3, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "Successor", Deadline: b.now.Add(time.Minute)}
		Expect(owner.Ask(b.now, again).Answers).To(ConsistOf(Answer{Ref: 3, Verdict: InProgress, Holder: "H-k"}))
	})

	It("guards against a moved request that takes a claim for its own before it is durable", func() {
		owner := b.shard("F")
		b.run(owner, owner.SetOwner(b.now, true))
		b.ask(owner, "k", 1)
		moved := Ask{Ref: 2, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "Successor", Deadline: b.now.Add(time.Minute)}
		Expect(owner.Ask(b.now, moved).Answers).To(ConsistOf(Answer{Ref: 2, Verdict: Unavailable}))
		b.run(owner, owner.Tick(b.now))
		Expect(owner.Ask(b.now, moved).Answers).To(ConsistOf(Answer{Ref: 2, Verdict: InProgress, Holder: "H-k"}))
		release := Finish{Ref: 3, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "H", Released: true}
		Expect(owner.Finish(b.now, release).Acks).To(BeEmpty())
		Expect(owner.Ask(b.now, moved).Answers).To(ConsistOf(Answer{Ref: 2, Verdict: Unavailable}))
	})

	It("guards against a report of an end that is lost at a former owner", func() {
		former, owner := b.shard("F"), b.shard("N")
		b.run(former, former.SetOwner(b.now, true))
		b.run(owner, owner.SetOwner(b.now, true))
		b.ask(owner, "k", 1)
		b.run(owner, owner.Tick(b.now))
		finish := Finish{Ref: 2, Key: KeyHash("t", "s", "k"), RequestID: "H-k", From: "H", Status: 200}
		Expect(former.Finish(b.now, finish).Acks).To(ConsistOf(Ack{Ref: 2, Result: NoClaim}))
	})

	It("guards against a key that expires while a claim that was granted late still counts", func() {
		owner := b.shard("F")
		b.run(owner, owner.SetOwner(b.now, true))
		start := b.now
		b.ask(owner, "k", 1) // its deadline is in one minute, its retention one hour
		b.run(owner, owner.Tick(b.now))
		b.now = start.Add(time.Minute)
		other := Ask{Key: KeyHash("t", "s", "k"), RequestID: "H-2", From: "H", Retention: time.Hour}
		ask := func(at time.Duration) []Answer {
			b.now = start.Add(at + defaultExpiryMargin + time.Second)
			other.Deadline = b.now.Add(time.Minute)
			return owner.Ask(b.now, other).Answers
		}
		Expect(ask(time.Hour)).To(ConsistOf(Answer{Verdict: InProgress, Holder: "H-k"}))
		Expect(ask(time.Hour+time.Minute)).To(BeEmpty(), "the claim is queued")
	})

	It("guards against one write per claim: at 80 claims a second at most 4 writes a second", func() {
		owner := b.shard("F")
		b.run(owner, owner.SetOwner(b.now, true))
		b.starts = nil
		granted := 0
		for i := range 800 {
			b.now = b.now.Add(12500 * time.Microsecond)
			b.ask(owner, fmt.Sprint(i), uint64(i))
			granted += len(b.run(owner, owner.Tick(b.now)).Answers)
		}
		GinkgoWriter.Printf("800 claims in 10 s: %d granted with %d writes\n", granted, len(b.starts))
		Expect(len(b.starts)).To(BeNumerically("<=", 41))
		Expect(granted).To(BeNumerically(">=", 780))
	})
})
