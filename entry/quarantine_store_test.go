package entry

import (
	"context"
	"log/slog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/clock"
	"knapweedhoist/objectapi"
	"knapweedhoist/quarantine"
)

// memoryStore holds one object and counts the writes to it.
type memoryStore struct {
	object objectapi.Object
	writes int
	// err is the error of the calls, nil for none.
	err error
}

// Do implements objectapi.Store.
func (s *memoryStore) Do(_ context.Context, request objectapi.Request) (objectapi.Reply, error) {
	switch {
	case s.err != nil:
		return objectapi.Reply{}, s.err
	case request.Op == objectapi.OpGet && s.object.Version == 0:
		return objectapi.Reply{}, objectapi.ErrNotFound
	case request.Op != objectapi.OpPut:
	case request.Condition.IfVersion != s.object.Version:
		return objectapi.Reply{Object: s.object}, objectapi.ErrConflict
	default:
		s.writes++
		s.object.Version++
		s.object.Value = request.Value
	}
	return objectapi.Reply{Object: s.object}, nil
}

var _ = Describe("Crashes in the store", func() {
	const part = quarantine.Key(7)
	newStore := func(store objectapi.Store) *quarantineStore {
		return newQuarantineStore(slog.New(slog.DiscardHandler), store, quarantine.NewGuard(quarantine.Config{}))
	}
	sync := func(s *quarantineStore) { ExpectWithOffset(1, s.sync(context.Background(), true)).To(Succeed()) }
	crash := func(s *quarantineStore, process uint64) {
		s.guard.RecordCrash(clock.Now(), process, quarantine.Request{Key: quarantine.RequestKey(process), Parts: []quarantine.Key{part}})
	}

	// Guards against a write for each crash, which would use up the rates of the store.
	It("are written with the next call, and not once for each crash", func() {
		store := &memoryStore{}
		s := newStore(store)
		for process := uint64(1); process <= 20; process++ {
			crash(s, process)
			sync(s)
		}
		Expect(store.writes).To(Equal(1))
		s.writtenAt = s.writtenAt.Add(-crashWriteGap)
		sync(s)
		sync(s)
		Expect(store.writes).To(Equal(2))
	})

	// Guards against a sound part that counts as unanswered at each later start (hlh-snowdesk, tainted-store-lost, seed 1).
	It("lose their answered keys", func() {
		store := &memoryStore{}
		s := newStore(store)
		crash(s, 1)
		sync(s)
		s.guard.RecordAnswer(clock.Now(), quarantine.Request{Parts: []quarantine.Key{part}})
		s.writtenAt = s.writtenAt.Add(-crashWriteGap)
		sync(s)
		started := newStore(store)
		sync(started)
		Expect(started.guard.Unanswered(clock.Now())).To(HaveExactElements(HaveField("Keys", []quarantine.Key{quarantine.RequestKey(1)})))
	})

	// Guards against crashes that a second writer overwrites without having read them.
	It("are merged by instances that write in turn, and known to one that starts", func() {
		store := &memoryStore{}
		one, other := newStore(store), newStore(store)
		sync(one)
		sync(other)
		crash(one, 1)
		crash(other, 2)
		for range 2 {
			sync(one)
			sync(other)
		}
		started := newStore(store)
		sync(started)
		var processes []uint64
		for _, crash := range started.guard.Unanswered(clock.Now()) {
			processes = append(processes, crash.Process)
			Expect(crash.Keys).To(ConsistOf(part, quarantine.RequestKey(crash.Process)))
		}
		Expect(processes).To(ConsistOf(uint64(1), uint64(2)))
		Expect(started.guard.Own(clock.Now()).Records).To(BeEmpty())
	})

	// Guards against sound requests that an instance refuses after an ordinary start, and against crashes that are forgotten without notice.
	DescribeTable("are expected to be incomplete if the first read fails", func(err error, cautious bool) {
		store := &memoryStore{err: err}
		s := newStore(store)
		if err != nil {
			Expect(s.sync(context.Background(), true)).To(MatchError(err))
		}
		store.err = nil
		sync(s)
		crash(s, 1)
		s.guard.Update(clock.Now())
		refused := s.guard.Admit(clock.Now(), quarantine.Request{Parts: []quarantine.Key{part}}) != nil
		Expect(refused).To(Equal(cautious))
	},
		Entry("with the store away", objectapi.ErrUnavailable, true),
		Entry("with a store that is only loaded", objectapi.ErrThrottled, false),
		Entry("not otherwise", nil, false),
	)

	// Guards against sound parts that are suspended at the start, since they were in progress at crashes that earlier processes saw.
	It("suspend nothing, and count", func() {
		store := &memoryStore{}
		earlier := newStore(store)
		sync(earlier)
		crash(earlier, 1)
		sync(earlier)
		started := newStore(store)
		started.guard.ExtendCaution(clock.Now())
		sync(started)
		started.guard.Update(clock.Now())
		request := quarantine.Request{Parts: []quarantine.Key{part}}
		Expect(started.guard.Admit(clock.Now(), request)).To(Succeed())
		Expect(started.guard.Unanswered(clock.Now())).To(HaveLen(1))
	})
})
