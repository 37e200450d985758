package objectwatch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
)

func TestObjectwatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "objectwatch")
}

// scriptedStore answers calls with its replies in order and cancels the run after the last one.
type scriptedStore struct {
	replies []scriptedReply
	calls   []objectapi.Request
	cancel  context.CancelFunc
}

type scriptedReply struct {
	reply objectapi.Reply
	err   error
}

func (s *scriptedStore) Do(_ context.Context, request objectapi.Request) (objectapi.Reply, error) {
	s.calls = append(s.calls, request)
	if len(s.replies) == 0 {
		s.cancel()
		return objectapi.Reply{}, context.Canceled
	}
	next := s.replies[0]
	s.replies = s.replies[1:]
	return next.reply, next.err
}

// recordingSink records the calls of a Watcher in their order.
type recordingSink struct {
	entries []string
	ages    []time.Duration
}

func (s *recordingSink) Replace(objects []objectapi.Object, _ objectapi.Position) {
	text := "replace"
	for _, object := range objects {
		text += " " + object.Name
	}
	s.entries = append(s.entries, text)
}
func (s *recordingSink) Apply(events []objectapi.WatchEvent, _ objectapi.Position) {
	for _, event := range events {
		s.entries = append(s.entries, "change "+event.Object.Name)
	}
}
func (s *recordingSink) Confirm(age time.Duration) { s.ages = append(s.ages, age) }
func (s *recordingSink) WatchLost(error)           { s.entries = append(s.entries, "lost") }
func (s *recordingSink) WatchRegained()            { s.entries = append(s.entries, "regained") }

var _ = Describe("Watcher", func() {
	run := func(replies ...scriptedReply) (*scriptedStore, *recordingSink) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store, sink := &scriptedStore{replies: replies, cancel: cancel}, &recordingSink{}
		cfg := Config{Kind: objectapi.KindEndpoint, Backoff: time.Nanosecond, MaxBackoff: time.Nanosecond}
		NewWatcher(slog.New(slog.DiscardHandler), cfg, store, sink).Run(ctx)
		return store, sink
	}
	objects := func(names ...string) []objectapi.Object {
		var all []objectapi.Object
		for _, name := range names {
			all = append(all, objectapi.Object{Name: name})
		}
		return all
	}

	// Guards against a change between two pages of a list that no watch returns.
	It("watches from the version of the first page", func() {
		store, sink := run(
			scriptedReply{reply: objectapi.Reply{Objects: objects("a"), Next: "a", Version: 5}},
			scriptedReply{reply: objectapi.Reply{Objects: objects("b"), Version: 9}},
		)
		Expect(sink.entries).To(Equal([]string{"replace a b"}))
		Expect(store.calls[1].After).To(Equal("a"))
		Expect(store.calls[2].From.Version).To(Equal(objectapi.Version(5)))
	})

	// Guards against a report of the end of an outage before the list that shows which entries expired in it: the sink
	// would take those entries for deleted ones.
	It("lists before it reports the end of an outage when the version to watch from is compacted", func() {
		_, sink := run(
			scriptedReply{reply: objectapi.Reply{Objects: objects("a"), Version: 5}},
			scriptedReply{err: objectapi.ErrUnavailable},
			scriptedReply{err: objectapi.ErrCompacted},
			scriptedReply{reply: objectapi.Reply{Objects: objects("b"), Version: 9}},
		)
		Expect(sink.entries).To(Equal([]string{"replace a", "lost", "replace b", "regained"}))
	})

	// Guards against a copy that counts as current because it was just read from another instance's older copy.
	It("adds the age of the copy that answered", func() {
		_, sink := run(
			scriptedReply{reply: objectapi.Reply{Objects: objects("a"), Version: 5, Age: time.Hour}},
			scriptedReply{reply: objectapi.Reply{Version: 6, Age: 2 * time.Hour}},
		)
		Expect(sink.ages).To(HaveLen(2))
		Expect(sink.ages[0]).To(BeNumerically(">=", time.Hour))
		Expect(sink.ages[1]).To(BeNumerically(">=", 2*time.Hour))
	})

	// Guards against a copy whose age includes the wait of its watch, although nothing changed up to the answer. Such a
	// copy refused the reads of other instances most of the time.
	It("does not count the wait of a watch without changes in the age of the copy", func() {
		_, sink := run(
			scriptedReply{reply: objectapi.Reply{Objects: objects("a"), Version: 5}},
			scriptedReply{reply: objectapi.Reply{Version: 6, Waited: time.Hour}},
		)
		Expect(sink.ages[1]).To(BeZero())
	})

	// Guards against a needless list and lost events after a call without an answer.
	It("watches from the same version again after a failed call", func() {
		store, sink := run(
			scriptedReply{reply: objectapi.Reply{Objects: objects("a"), Version: 5}},
			scriptedReply{err: errors.New("connection reset")},
			scriptedReply{reply: objectapi.Reply{Events: []objectapi.WatchEvent{{Object: objects("b")[0]}}, Version: 6}},
		)
		Expect(sink.entries).To(Equal([]string{"replace a", "lost", "change b", "regained"}))
		Expect(store.calls[2].From.Version).To(Equal(objectapi.Version(5)))
		Expect(store.calls[3].From.Version).To(Equal(objectapi.Version(6)))
	})

	// Guards against a list of objects of two histories.
	It("reads a list again whose pages are of two eras", func() {
		store, sink := run(
			scriptedReply{reply: objectapi.Reply{Objects: objects("a"), Next: "a", Version: 5, Era: 1}},
			scriptedReply{reply: objectapi.Reply{Objects: objects("b"), Version: 4, Era: 2}},
			scriptedReply{reply: objectapi.Reply{Objects: objects("c"), Version: 4, Era: 2}},
		)
		Expect(sink.entries).To(Equal([]string{"lost", "replace c", "regained"}))
		Expect(store.calls[3].From).To(Equal(objectapi.Position{Era: 2, Version: 4}))
	})

	// Guards against events of the new history that are applied to the copy of the former one, and against a failure that
	// hides the return.
	It("lists again when an answer or a failure names a later era", func() {
		_, sink := run(
			scriptedReply{reply: objectapi.Reply{Objects: objects("a"), Version: 5, Era: 1}},
			scriptedReply{reply: objectapi.Reply{Events: []objectapi.WatchEvent{{Object: objects("b")[0]}}, Version: 6, Era: 2}},
			scriptedReply{reply: objectapi.Reply{Objects: objects("c"), Version: 6, Era: 2}},
			scriptedReply{reply: objectapi.Reply{Era: 3}, err: objectapi.ErrThrottled},
			scriptedReply{reply: objectapi.Reply{Objects: objects("d"), Version: 2, Era: 3}},
		)
		Expect(sink.entries).To(Equal([]string{"replace a", "replace c", "replace d"}))
	})

	// Guards against lists without end, or a copy that is given up, when the store names an older era or none.
	It("keeps its position when an answer names an older era or none", func() {
		store, sink := run(
			scriptedReply{reply: objectapi.Reply{Objects: objects("a"), Version: 5, Era: 3}},
			scriptedReply{reply: objectapi.Reply{Events: []objectapi.WatchEvent{{Object: objects("b")[0]}}, Version: 6, Era: 2}},
			scriptedReply{reply: objectapi.Reply{Events: []objectapi.WatchEvent{{Object: objects("c")[0]}}, Version: 7}},
		)
		Expect(sink.entries).To(Equal([]string{"replace a", "change b", "change c"}))
		Expect(store.calls[3].From).To(Equal(objectapi.Position{Era: 3, Version: 7}))
	})

	// Guards against a copy that stays in the former history for as long as a silent watch lasts, although a call of
	// another part of the process has seen the return.
	It("ends a watch when another call sees a return of the store", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		era, risen := objectapi.Era(1), make(chan struct{})
		lists := 0
		store := storeFunc(func(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
			switch {
			case request.Op == objectapi.OpList:
				lists++
				return objectapi.Reply{Objects: objects("a"), Version: 5, Era: era}, nil
			case lists == 1:
				era = 2
				close(risen)
				<-ctx.Done()
			default:
				cancel()
			}
			return objectapi.Reply{}, objectapi.ErrUnavailable
		})
		cfg := Config{Kind: objectapi.KindEndpoint, Era: func() (objectapi.Era, <-chan struct{}) { return era, risen }}
		sink := &recordingSink{}
		NewWatcher(slog.New(slog.DiscardHandler), cfg, store, sink).Run(ctx)
		Expect(sink.entries).To(Equal([]string{"replace a", "replace a"}))
	})
})

// Guards against a copy that counts as lost because the process sees an era that a relay has told before.
func TestEraKnownBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var mu sync.Mutex
		era, risen := objectapi.Era(0), make(chan struct{})
		see := func(next objectapi.Era) {
			mu.Lock()
			defer mu.Unlock()
			era = next
			close(risen)
			risen = make(chan struct{})
		}
		watches := 0
		store := storeFunc(func(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
			if request.Op == objectapi.OpList {
				return objectapi.Reply{Version: 5, Era: 2}, nil
			}
			if watches++; watches == 2 {
				cancel()
				return objectapi.Reply{}, ctx.Err()
			}
			see(1)
			see(2)
			synctest.Wait()
			if ctx.Err() != nil {
				return objectapi.Reply{}, ctx.Err()
			}
			return objectapi.Reply{Version: 6, Era: 2}, nil
		})
		cfg := Config{Kind: objectapi.KindEndpoint, Era: func() (objectapi.Era, <-chan struct{}) {
			mu.Lock()
			defer mu.Unlock()
			return era, risen
		}}
		sink := &recordingSink{}
		NewWatcher(slog.New(slog.DiscardHandler), cfg, store, sink).Run(ctx)
		g.Expect(sink.entries).To(Equal([]string{"replace"}))
	})
}

type storeFunc func(ctx context.Context, request objectapi.Request) (objectapi.Reply, error)

func (f storeFunc) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	return f(ctx, request)
}
