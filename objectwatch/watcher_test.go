package objectwatch

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
)

func TestObjectwatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "objectwatch")
}

// script answers calls in order and ends the run after the last one.
type script struct {
	steps  []step
	calls  []objectapi.Request
	cancel context.CancelFunc
}

type step struct {
	reply objectapi.Reply
	err   error
}

func (s *script) Do(_ context.Context, request objectapi.Request) (objectapi.Reply, error) {
	s.calls = append(s.calls, request)
	if len(s.steps) == 0 {
		s.cancel()
		return objectapi.Reply{}, context.Canceled
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next.reply, next.err
}

// log notes the order of what a sink is told.
type log struct {
	entries []string
	ages    []time.Duration
}

func (l *log) Replace(objects []objectapi.Object, _ objectapi.Version) {
	text := "replace"
	for _, object := range objects {
		text += " " + object.Name
	}
	l.entries = append(l.entries, text)
}
func (l *log) Change(events []objectapi.WatchEvent, _ objectapi.Version) {
	for _, event := range events {
		l.entries = append(l.entries, "change "+event.Object.Name)
	}
}
func (l *log) Current(age time.Duration) { l.ages = append(l.ages, age) }
func (l *log) Lost(error)                { l.entries = append(l.entries, "lost") }
func (l *log) Regained()                 { l.entries = append(l.entries, "regained") }

var _ = Describe("Watcher", func() {
	run := func(steps ...step) (*script, *log) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store, sink := &script{steps: steps, cancel: cancel}, &log{}
		cfg := Config{Kind: objectapi.KindEndpoint, Pause: time.Nanosecond, MaxPause: time.Nanosecond}
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

	// Guards against a change between two pages of a list that no watch brings.
	It("watches from the version of the first page", func() {
		store, sink := run(
			step{reply: objectapi.Reply{Objects: objects("a"), Next: "a", Version: 5}},
			step{reply: objectapi.Reply{Objects: objects("b"), Version: 9}},
		)
		Expect(sink.entries).To(Equal([]string{"replace a b"}))
		Expect(store.calls[1].After).To(Equal("a"))
		Expect(store.calls[2].From).To(Equal(objectapi.Version(5)))
	})

	// Guards against telling that the store is back before the list that shows
	// what lapsed in the outage.
	It("lists before it tells that the store is back when the history is gone", func() {
		_, sink := run(
			step{reply: objectapi.Reply{Objects: objects("a"), Version: 5}},
			step{err: objectapi.ErrUnavailable},
			step{err: objectapi.ErrCompacted},
			step{reply: objectapi.Reply{Objects: objects("b"), Version: 9}},
		)
		Expect(sink.entries).To(Equal([]string{"replace a", "lost", "replace b", "regained"}))
	})

	// Guards against a copy that counts as new because it was read from another instance just now.
	It("adds the age of the copy that answered", func() {
		_, sink := run(
			step{reply: objectapi.Reply{Objects: objects("a"), Version: 5, Age: time.Hour}},
			step{reply: objectapi.Reply{Version: 6, Age: 2 * time.Hour}},
		)
		Expect(sink.ages).To(HaveLen(2))
		Expect(sink.ages[0]).To(BeNumerically(">=", time.Hour))
		Expect(sink.ages[1]).To(BeNumerically(">=", 2*time.Hour))
	})

	// Guards against a copy that counts as old as the wait of its watch, although nothing changed up to the answer: it
	// refused reads of other instances for most of the time.
	It("counts the wait of a watch without changes as time in which the copy was complete", func() {
		_, sink := run(
			step{reply: objectapi.Reply{Objects: objects("a"), Version: 5}},
			step{reply: objectapi.Reply{Version: 6, Waited: time.Hour}},
		)
		Expect(sink.ages[1]).To(BeZero())
	})

	// Guards against a second list, and lost events, after a call without an answer.
	It("goes on watching from the same version after a lost call", func() {
		store, sink := run(
			step{reply: objectapi.Reply{Objects: objects("a"), Version: 5}},
			step{err: errors.New("reset")},
			step{reply: objectapi.Reply{Events: []objectapi.WatchEvent{{Object: objects("b")[0]}}, Version: 6}},
		)
		Expect(sink.entries).To(Equal([]string{"replace a", "lost", "change b", "regained"}))
		Expect(store.calls[2].From).To(Equal(objectapi.Version(5)))
		Expect(store.calls[3].From).To(Equal(objectapi.Version(6)))
	})
})
