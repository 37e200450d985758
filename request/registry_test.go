package request

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// create registers and admits a request.
func create(registry *Registry, spec Spec) *Entry {
	entry, err := registry.Create(start, spec)
	Expect(err).NotTo(HaveOccurred())
	Expect(entry.Admit()).To(Succeed())
	return entry
}

// generate starts an attempt, produces n tokens and returns the attempt's number.
func generate(entry *Entry, n int) int {
	number, resume, err := entry.BeginAttempt()
	Expect(err).NotTo(HaveOccurred())
	Expect(entry.MarkSent(number)).To(Succeed())
	for i := range n {
		Expect(entry.AppendToken(number, len(resume)+i, "x")).To(Succeed())
	}
	return number
}

var completeFinish = Finish{Outcome: OutcomeRan, FinishReason: "stop"}

var _ = ginkgo.Describe("Registry", func() {
	var registry *Registry

	ginkgo.BeforeEach(func() {
		registry = NewRegistry(incarnation, newReporter(), Config{MaxInProgress: 2, MaxBytes: 1000, MaxReaders: 2})
	})

	ginkgo.It("guards against a request that another team can read", func() {
		entry := create(registry, modelSpec(registry))
		_, err := registry.Find(entry.Spec().ID, "b")
		Expect(err).To(MatchError(ErrForbidden))
		_, err = registry.Find(ID{Incarnation: incarnation, Sequence: 99}, "a")
		Expect(err).To(MatchError(ErrNotFound))
	})

	ginkgo.It("guards against unlimited numbers of requests and readers", func() {
		first := create(registry, modelSpec(registry))
		create(registry, modelSpec(registry))
		_, err := registry.Create(start, modelSpec(registry))
		Expect(err).To(MatchError(ErrFull))
		for range 2 {
			_, err := first.Subscribe(0)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = first.Subscribe(0)
		Expect(err).To(MatchError(ErrTooManyReaders))
	})

	ginkgo.It("guards against finished requests whose memory is never released", func() {
		entry := create(registry, modelSpec(registry))
		generate(entry, 10)
		Expect(entry.Finish(start, completeFinish)).To(Succeed())
		registry.Sweep(start.Add(59 * time.Second))
		_, err := registry.Find(entry.Spec().ID, "a")
		Expect(err).NotTo(HaveOccurred())
		registry.Sweep(start.Add(60 * time.Second))
		inProgress, finished, bytes := registry.Counts()
		Expect([]int{inProgress, finished, int(bytes)}).To(Equal([]int{0, 0, 0}))
	})

	ginkgo.It("guards against finished requests that fill the registry and block new ones", func() {
		for range 3 {
			spec := modelSpec(registry)
			spec.Completion.Messages[0].Content = string(make([]byte, 400))
			Expect(create(registry, spec).Finish(start, completeFinish)).To(Succeed())
		}
		inProgress, finished, bytes := registry.Counts()
		Expect(inProgress).To(BeZero())
		Expect(finished).To(Equal(2))
		Expect(bytes).To(BeNumerically("<=", 1000))
	})

	ginkgo.It("guards against events that callers see before a peer has acknowledged them", func() {
		entry := create(registry, modelSpec(registry))
		generate(entry, 2)
		reader, err := entry.Subscribe(0)
		Expect(err).NotTo(HaveOccurred())
		entry.Hold(func() {})
		generate(entry, 3)
		Expect(entry.Finish(start, completeFinish)).To(Succeed())
		Expect(reader.Next(make([]Event, 0, 9))).To(HaveLen(2))
		entry.Deliver(4)
		Expect(reader.Next(make([]Event, 0, 9))).To(HaveLen(2))
		entry.Deliver(99)
		Expect(reader.Next(make([]Event, 0, 9))).To(HaveLen(2))
		_, err = reader.Next(make([]Event, 0, 9))
		Expect(err).To(MatchError(io.EOF))
	})

	ginkgo.It("guards against a copy at a peer that differs from the request", func() {
		entry := create(registry, modelSpec(registry))
		number := generate(entry, 2)
		state, upTo, err := entry.Copy(start, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(upTo).To(Equal(uint64(2)))
		Expect(entry.AppendToken(number, 2, "y")).To(Succeed())
		events, upTo := entry.EventsAfter(upTo)
		Expect(upTo).To(Equal(uint64(3)))
		Expect(events.GetTokens()).To(Equal([]string{"y"}))
		Expect(entry.Move()).To(Succeed())

		peer := NewRegistry("01JYYYYYYYYYYYYYYYYYYYYYYY", newReporter(), Config{})
		state.Tokens = append(state.Tokens, events.GetTokens()...)
		adopted, err := peer.Adopt(start, state)
		Expect(err).NotTo(HaveOccurred())
		next, resume, err := adopted.BeginAttempt()
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(Equal(number + 1))
		Expect(resume).To(Equal([]string{"x", "x", "y"}))
		Expect(adopted.OutcomeIfEnded()).To(Equal(OutcomeUnknown))
		Expect(adopted.Spec().Deadline).To(Equal(entry.Spec().Deadline))
		Expect(registry.Idle()).To(BeClosed())
	})

	ginkgo.It("guards against a peer that resends a call that was already sent and must not be repeated", func() {
		entry := create(registry, plainSpec(registry))
		Expect(entry.MoveUnsent()).To(Succeed())
		state, _, err := entry.Copy(start, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.GetSent()).To(BeFalse())

		sent := create(registry, plainSpec(registry))
		generate(sent, 0)
		Expect(sent.MoveUnsent()).To(MatchError(ErrSentOnce))
		_, _, err = sent.Copy(start, true)
		Expect(err).To(MatchError(ErrState))
		state, _, err = sent.Copy(start, false)
		Expect(err).NotTo(HaveOccurred())
		peer := NewRegistry("01JYYYYYYYYYYYYYYYYYYYYYYY", newReporter(), Config{})
		adopted, err := peer.Adopt(start, state)
		Expect(err).NotTo(HaveOccurred())
		Expect(adopted.MaySend()).To(BeFalse())
	})
})

// Guards against a reader in Entry.Follow that misses events or the finish of a
// running request.
func TestFollowersGetEveryEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		registry := NewRegistry(incarnation, newReporter(), Config{})
		entry := create(registry, modelSpec(registry))
		got := make(chan int, 2)
		for after := range 2 {
			go func() {
				n := 0
				err := registry.Attach(context.Background(), entry.Spec().ID, "a", uint64(after), func(Event) error {
					n++
					return nil
				})
				if err != nil {
					n = -1
				}
				got <- n
			}()
		}
		synctest.Wait()
		generate(entry, 50)
		synctest.Wait()
		Expect(entry.Finish(start, completeFinish)).To(Succeed())
		Expect([]int{<-got, <-got}).To(ConsistOf(51, 50))
	})
}

// Guards against not_run for a request that a peer took over and ran, because the
// peer considered the departing home instance dead. A finish that a caller has
// already seen is not changed.
func TestNotRunIsNotProvedWhileAPeerMayRun(t *testing.T) {
	for _, visible := range []bool{false, true} {
		registry := NewRegistry(incarnation, newReporter(), Config{})
		entry, err := registry.Create(start, modelSpec(registry))
		if err != nil {
			t.Fatal(err)
		}
		_ = entry.Admit()
		entry.Hold(nil)
		_ = entry.Finish(start, Finish{Outcome: OutcomeNotRun, Step: "deadline"})
		if visible {
			entry.Unhold()
		}
		entry.MarkPeerMayRun()
		want := OutcomeUnknown
		if visible {
			want = OutcomeNotRun
		}
		if got := entry.Result().Outcome; got != want {
			t.Fatalf("outcome %s, want %s (finish visible: %v)", got, want, visible)
		}
	}
	machine := NewMachine(modelSpec(NewRegistry(incarnation, newReporter(), Config{})), newReporter())
	_ = machine.Admit()
	machine.peerMayRun = true
	_ = machine.Finish(start, Finish{Outcome: OutcomeNotRun, Step: "deadline"})
	if machine.finish.Outcome != OutcomeUnknown || machine.OutcomeIfEnded() != OutcomeUnknown {
		t.Fatalf("outcome %s, want unknown", machine.finish.Outcome)
	}
}

// Guards against finished requests that are handed over from instance to instance
// forever.
func TestReadableEndsAfterTheDeadline(t *testing.T) {
	registry := NewRegistry(incarnation, newReporter(), Config{})
	entry, err := registry.Create(start, modelSpec(registry))
	if err != nil {
		t.Fatal(err)
	}
	_ = entry.Admit()
	end := entry.Spec().Deadline.Add(DefaultRetention)
	if len(registry.Readable(end.Add(time.Second))) != 1 {
		t.Fatal("a request in progress is not readable after its deadline")
	}
	_ = entry.Finish(end, Finish{Outcome: OutcomeUnknown, Step: "deadline"})
	if len(registry.Readable(end)) != 1 || len(registry.Readable(end.Add(time.Second))) != 0 {
		t.Fatal("a finished request is not readable until exactly Retention after its deadline")
	}
}
