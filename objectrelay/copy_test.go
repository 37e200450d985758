package objectrelay

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
)

// discardSink is a sink that ignores all calls.
type discardSink struct{}

func (discardSink) Replace([]objectapi.Object, objectapi.Position)   {}
func (discardSink) Apply([]objectapi.WatchEvent, objectapi.Position) {}
func (discardSink) Confirm(time.Duration)                            {}
func (discardSink) WatchLost(error)                                  {}
func (discardSink) WatchRegained()                                   {}

var _ = Describe("Copy", func() {
	const maxAge = time.Second
	var (
		now  time.Time
		copy *Copy
	)
	object := func(name string, version objectapi.Version) objectapi.Object {
		return objectapi.Object{Kind: objectapi.KindEndpoint, Name: name, Version: version}
	}
	list := func() (objectapi.Reply, error) {
		return copy.Do(context.Background(), objectapi.Request{Op: objectapi.OpList})
	}
	watch := func(from objectapi.Version) (objectapi.Reply, error) {
		return copy.Do(context.Background(), objectapi.Request{Op: objectapi.OpWatch, From: objectapi.Position{Version: from}})
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		copy = NewCopy(CopyConfig{Kind: objectapi.KindEndpoint, MaxAge: maxAge, Now: func() time.Time { return now }}, discardSink{})
	})

	// Guards against an instance that takes an unfilled copy for an empty deployment.
	It("does not answer before the first list and while the store does not answer", func() {
		_, err := list()
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
		copy.Replace([]objectapi.Object{object("a", 3)}, objectapi.Position{Version: 5})
		copy.Confirm(0)
		Expect(list()).To(HaveField("Version", objectapi.Version(5)))
		copy.WatchLost(errors.New("connection reset"))
		_, err = watch(5)
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
	})

	// Guards against late departures and changes (DRAIN and CONFIG): an instance that is cut off or was paused would
	// serve old objects as current ones.
	It("returns its age and does not answer when it is too old", func() {
		copy.Replace(nil, objectapi.Position{Version: 5})
		copy.Confirm(300 * time.Millisecond)
		now = now.Add(400 * time.Millisecond)
		Expect(list()).To(HaveField("Age", 700*time.Millisecond))
		now = now.Add(400 * time.Millisecond)
		_, err := list()
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
	})

	// Guards against a reader that misses a change or a deletion.
	It("answers a watch with the changes after a version", func() {
		copy.Replace([]objectapi.Object{object("a", 3)}, objectapi.Position{Version: 5})
		copy.Apply([]objectapi.WatchEvent{{Object: object("b", 7)}}, objectapi.Position{Version: 8})
		copy.Apply([]objectapi.WatchEvent{{Deleted: true, Object: object("a", 3)}}, objectapi.Position{Version: 9})
		copy.Confirm(0)
		reply, err := watch(5)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Events).To(HaveLen(2))
		Expect(reply.Version).To(Equal(objectapi.Version(9)))
		Expect(watch(8)).To(HaveField("Events", HaveLen(1)))
		Expect(watch(9)).To(HaveField("Events", BeEmpty()))
		Expect(list()).To(HaveField("Objects", ConsistOf(object("b", 7))))
	})

	// Guards against a reader that goes back to an older version because it was ahead of the copy.
	It("does not lower the version of a reader that is ahead of the copy", func() {
		copy.Replace(nil, objectapi.Position{Version: 5})
		copy.Confirm(0)
		Expect(watch(9)).To(HaveField("Version", objectapi.Version(9)))
	})

	// Guards against a reader that misses the changes that the history no longer holds.
	It("refuses a watch from a version that is no longer in the history", func() {
		copy.Replace(nil, objectapi.Position{Version: 5})
		copy.Confirm(0)
		for n := range maxChanges + 1 {
			version := objectapi.Version(6 + n)
			copy.Apply([]objectapi.WatchEvent{{Object: object(fmt.Sprint(n), version)}}, objectapi.Position{Version: version})
		}
		_, err := watch(5)
		Expect(err).To(MatchError(objectapi.ErrCompacted))
		Expect(watch(6)).To(HaveField("Events", HaveLen(maxChanges)))
	})

	// Guards against a process that exceeds its memory after some hundred changes of a large configuration, and against a
	// reader that then misses a change.
	Describe("during many changes of a large object", func() {
		const (
			changes    = 400
			valueBytes = 256 << 10
			maxHeap    = 16 << 20 // bytes
		)
		applyAll := func() (heapBytes int64) {
			copy.Replace(nil, objectapi.Position{Version: 5})
			copy.Confirm(0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for n := range changes {
				changed := object("main", objectapi.Version(6+n))
				changed.Value = make([]byte, valueBytes)
				copy.Apply([]objectapi.WatchEvent{{Object: changed}}, objectapi.Position{Version: changed.Version})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			return int64(after.HeapAlloc) - int64(before.HeapAlloc)
		}

		It("keeps the last ones up to a number of bytes, and a reader that is further behind lists again", func() {
			Expect(applyAll()).To(BeNumerically("<", maxHeap))
			_, err := watch(5)
			Expect(err).To(MatchError(objectapi.ErrCompacted))
			reply, err := list()
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Objects).To(HaveLen(1))
			Expect(reply.Objects[0].Version).To(Equal(objectapi.Version(5 + changes)))
			Expect(watch(4 + changes)).To(HaveField("Events", HaveLen(1)))
		})

		It("keeps none while no other instance reads the copy", func() {
			copy.cfg.IsShared = func() bool { return false }
			Expect(applyAll()).To(BeNumerically("<", 2*valueBytes))
			_, err := watch(4 + changes)
			Expect(err).To(MatchError(objectapi.ErrCompacted))
			Expect(watch(5 + changes)).To(HaveField("Events", BeEmpty()))
		})

		It("does not keep a change that is larger than the bound", func() {
			copy.history.maxBytes = valueBytes
			applyAll()
			Expect(copy.HistoryBytes()).To(BeZero())
			_, err := watch(4 + changes)
			Expect(err).To(MatchError(objectapi.ErrCompacted))
		})
	})

	// Guards against changes and outages that a reader notices only at the end of its wait.
	It("ends the wait of a watch at a change and when the store stops answering", func() {
		copy.Replace(nil, objectapi.Position{Version: 5})
		copy.Confirm(0)
		replies, errs := make(chan objectapi.Reply, 1), make(chan error, 1)
		wait := func(from objectapi.Version) {
			reply, err := copy.Do(context.Background(), objectapi.Request{Op: objectapi.OpWatch, From: objectapi.Position{Version: from}, Wait: time.Hour})
			replies <- reply
			errs <- err
		}
		go wait(5)
		copy.Apply([]objectapi.WatchEvent{{Object: object("a", 6)}}, objectapi.Position{Version: 6})
		Eventually(replies).Should(Receive())
		Eventually(errs).Should(Receive(Not(HaveOccurred())))
		go wait(6)
		copy.WatchLost(errors.New("connection reset"))
		Eventually(errs).Should(Receive(MatchError(objectapi.ErrUnavailable)))
	})
})
