package duty

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
	"knapweedhoist/sizing"
	"knapweedhoist/usage"
)

// memoryStore is an in-memory store of the objects of one kind, by name.
type memoryStore struct {
	objects map[string]objectapi.Object
	// loseNextReply makes the next write take effect and return ErrUnavailable.
	loseNextReply bool
	// era is that of the answers.
	era objectapi.Era
}

// Do answers a request and names the era.
func (s *memoryStore) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	reply, err := s.do(ctx, request)
	reply.Era = s.era
	return reply, err
}

func (s *memoryStore) do(_ context.Context, request objectapi.Request) (objectapi.Reply, error) {
	object := s.objects[request.Name]
	switch {
	case request.Op == objectapi.OpGet && object.Version == 0:
		return objectapi.Reply{}, objectapi.ErrNotFound
	case request.Op == objectapi.OpGet:
		return objectapi.Reply{Object: object}, nil
	case request.Condition.IfAbsent && object.Version != 0,
		request.Condition.IfVersion != 0 && request.Condition.IfVersion != object.Version:
		return objectapi.Reply{Object: object}, objectapi.ErrConflict
	}
	object = objectapi.Object{Version: object.Version + 1, Value: request.Value}
	s.objects[request.Name] = object
	if s.loseNextReply {
		s.loseNextReply = false
		return objectapi.Reply{}, objectapi.ErrUnavailable
	}
	return objectapi.Reply{Object: object}, nil
}

// strictCloud fails the test when two reports of the same window differ.
type strictCloud struct {
	reports     map[int64]usage.Counts
	unavailable bool
}

func (c *strictCloud) ReportUsage(_ context.Context, _ Holder, window int64, counts usage.Counts) error {
	if c.unavailable {
		return ErrUnavailable
	}
	if earlier, ok := c.reports[window]; ok {
		Expect(counts).To(Equal(earlier))
	}
	c.reports[window] = counts
	return nil
}

func (c *strictCloud) Resize(context.Context, Holder, sizing.Size) error { return nil }

var _ = Describe("usageDuty", func() {
	var (
		store *memoryStore
		cloud *strictCloud
		ctx   = context.Background()
	)
	at := func(s float64) time.Time { return time.Unix(0, int64(s*1e9)) }
	permit := func() (Holder, error) { return Holder{Name: "a", Fence: 1}, nil }
	// now is the time of the decision clock and, where a spec says nothing else, the time of day.
	var now time.Time
	// completeUntil is the time of day up to which the counts of the other instances have arrived.
	var completeUntil time.Time
	newDuty := func(counts map[int64]map[string]float64) *usageDuty {
		ledger := usage.NewLedger(5*time.Second, func(window int64) map[string]float64 { return counts[window] })
		return &usageDuty{
			lg: slog.New(slog.DiscardHandler), cfg: Config{}.withDefaults(), store: store, cloud: cloud, ledger: ledger,
			completeUntil: func() time.Time { return completeUntil }, now: func() time.Time { return now },
		}
	}
	runStepsWith := func(d *usageDuty, clocks reading, n int) {
		now = clocks.now
		for range n {
			d.observeEra(store.era)
			if err := d.runOnce(ctx, clocks, permit); err != nil {
				Expect(err).To(Or(MatchError(ErrUnavailable), MatchError(objectapi.ErrUnavailable), MatchError(objectapi.ErrConflict)))
			}
		}
	}
	runSteps := func(d *usageDuty, wall time.Time, n int) {
		runStepsWith(d, reading{now: wall, wall: wall, local: wall}, n)
	}

	BeforeEach(func() {
		store, cloud = &memoryStore{objects: make(map[string]objectapi.Object)}, &strictCloud{reports: make(map[int64]usage.Counts)}
		completeUntil = at(1000)
	})

	// Guards against a report without the counts that other instances send after the end of the window.
	It("reports a window only once the counts of all connected instances have arrived", func() {
		d := newDuty(map[int64]map[string]float64{2: {"t": 4}})
		completeUntil = at(14.9)
		runSteps(d, at(16.6), 3)
		Expect(cloud.reports).NotTo(HaveKey(int64(2)))
		completeUntil = at(15.4)
		runSteps(d, at(16.7), 6)
		Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
	})

	// Guards against a report that is not sent in time because an instance is slow to report its counts.
	It("reports an incomplete window in time", func() {
		d := newDuty(map[int64]map[string]float64{2: {"t": 4}})
		completeUntil = at(14.9)
		runSteps(d, at(21.1), 6)
		Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
	})

	// Guards against two different reports of one window: the new holder's counts differ from the former holder's.
	It("sends the stored report of the former holder when its own counts differ", func() {
		cloud.unavailable = true
		runSteps(newDuty(map[int64]map[string]float64{1: {"t": 4}}), at(16.6), 6) // stored, never sent
		cloud.unavailable = false
		runSteps(newDuty(map[int64]map[string]float64{1: {"t": 9}}), at(17), 6)
		Expect(cloud.reports[1]).To(Equal(usage.Counts{"t": 4}))
	})

	// Guards against two different reports of one window: the reply to the write of the record is lost, and the counts
	// change before the next attempt.
	It("reads the record again after a write without a reply", func() {
		counts := map[int64]map[string]float64{2: {"t": 4}}
		d := newDuty(counts)
		runSteps(d, at(16.6), 1)
		store.loseNextReply = true
		runSteps(d, at(16.6), 1)
		counts[1], counts[2] = map[string]float64{"t": 1}, map[string]float64{"t": 5}
		runSteps(d, at(16.7), 8)
		var stored usageRecord
		stored, err := decodeUsageRecord(store.objects[usageObjectName(store.era)])
		Expect(err).NotTo(HaveOccurred())
		for _, report := range stored.Reports {
			Expect(cloud.reports[report.Window]).To(Equal(report.Counts))
		}
	})

	// Guards against a report that reaches the cloud after its due time, once the cloud answers again.
	It("does not send a report that is no longer due", func() {
		d := newDuty(map[int64]map[string]float64{2: {"t": 4}})
		cloud.unavailable = true
		runSteps(d, at(16.6), 6)
		cloud.unavailable = false
		runSteps(d, at(26), 2)
		Expect(cloud.reports).NotTo(HaveKey(int64(2)))
	})

	// Guards against reports from two instances at the same time.
	It("sends no report while the lease is not held", func() {
		d := newDuty(map[int64]map[string]float64{2: {"t": 4}})
		for range 6 {
			if err := d.runOnce(ctx, reading{now: at(16.6), wall: at(16.6), local: at(16.6)}, func() (Holder, error) { return Holder{}, errors.New("not held") }); err != nil {
				Expect(err).To(MatchError("not held"))
			}
		}
		Expect(cloud.reports).To(BeEmpty())
	})

	Context("after a return of the store from a copy that lacks a report", func() {
		returnStore := func() { store.objects, store.era = make(map[string]objectapi.Object), store.era+1 }

		// Guards against two different reports of one window: counts of other instances arrive after the first report.
		It("repeats the report that it has sent", func() {
			counts := map[int64]map[string]float64{2: {"t": 4}}
			d := newDuty(counts)
			runSteps(d, at(16.6), 6)
			Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
			returnStore()
			counts[2] = map[string]float64{"t": 9}
			runSteps(d, at(17), 8) // strictCloud fails if the counts differ
			stored, err := decodeUsageRecord(store.objects[usageObjectName(store.era)])
			Expect(err).NotTo(HaveOccurred())
			Expect(stored.Reports).To(ContainElement(usageReport{Window: 2, Counts: usage.Counts{"t": 4}}))
		})

		// Guards against two different reports of one window: the next holder does not know that the former one has reported it.
		It("reports only the windows that end later from another instance, and from its successor", func() {
			counts := map[int64]map[string]float64{2: {"t": 4}, 3: {"t": 5}, 4: {"t": 6}}
			runSteps(newDuty(counts), at(16.6), 6)
			returnStore()
			counts[2] = map[string]float64{"t": 9}
			next := newDuty(counts)
			runSteps(next, at(17), 8)
			runSteps(next, at(21.6), 4)
			Expect(cloud.reports).To(HaveKeyWithValue(int64(3), usage.Counts{"t": 5}))
			Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
			runSteps(newDuty(counts), at(26.6), 4) // it starts later than window 4, which nobody can have reported
			Expect(cloud.reports).To(HaveKeyWithValue(int64(4), usage.Counts{"t": 6}))
		})

		// Guards against two different reports of one window from the successor of a holder that had repeated some of its reports.
		It("does not report a window that the former holder was to repeat", func() {
			counts := map[int64]map[string]float64{1: {"t": 3}, 2: {"t": 4}}
			first := newDuty(counts)
			runSteps(first, at(16.6), 8)
			Expect(cloud.reports).To(HaveLen(2))
			returnStore()
			runSteps(first, at(17), 2) // loads the record and stores the oldest report again
			counts[2] = map[string]float64{"t": 9}
			runSteps(newDuty(counts), at(17.5), 8)
			Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
		})

		// Guards against two different reports of one window: faultsoak seed 40, where the estimated time of day of a restarted
		// instance was 6 s late, so that windows that the former holder had reported seemed to have ended in the new era.
		It("does not report a window that ended before by the clock of the machine", func() {
			counts := map[int64]map[string]float64{2: {"t": 4}, 3: {"t": 5}}
			runSteps(newDuty(counts), at(16.6), 6)
			returnStore()
			counts[2] = map[string]float64{"t": 9}
			next := newDuty(counts)
			now = at(17)
			next.observeEra(store.era)
			runStepsWith(next, reading{now: at(23.7), wall: at(16.7), local: at(23.7)}, 8)
			Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
			runStepsWith(next, reading{now: at(28.7), wall: at(21.7), local: at(28.7)}, 8)
			Expect(cloud.reports).To(HaveKeyWithValue(int64(3), usage.Counts{"t": 5}))
		})

		// Guards against two different reports of one window from an instance whose clocks were behind when it saw the era, or that
		// was paused between the reading of the clocks and that of the era.
		It("does not report a window that ended before by the corrected time of day", func() {
			counts := map[int64]map[string]float64{2: {"t": 4}, 3: {"t": 5}}
			runSteps(newDuty(counts), at(15.4), 6)
			returnStore()
			counts[2] = map[string]float64{"t": 9}
			next := newDuty(counts)
			runStepsWith(next, reading{now: at(16), wall: at(10), local: at(10)}, 1)
			runSteps(next, at(20.5), 8)
			Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
			Expect(cloud.reports).To(HaveKeyWithValue(int64(3), usage.Counts{"t": 5}))
		})

		// Guards against two different reports of one window from the successor of a holder whose clocks were behind.
		It("does not take windows for new by the former holder's time of day", func() {
			counts := map[int64]map[string]float64{1: {"t": 3}, 2: {"t": 4}, 3: {"t": 5}}
			first := newDuty(counts)
			runSteps(first, at(16.6), 8)
			Expect(cloud.reports).To(HaveLen(2))
			returnStore()
			runStepsWith(first, reading{now: at(17), wall: at(12), local: at(12)}, 2) // stores the report of window 1 again
			counts[2] = map[string]float64{"t": 9}
			next := newDuty(counts)
			now = at(18)
			next.observeEra(store.era)
			runSteps(next, at(20.5), 8)
			Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
			Expect(cloud.reports).To(HaveKeyWithValue(int64(3), usage.Counts{"t": 5}))
		})

		// Guards against windows left out by a successor that saw the era late, and against a first sight that the time since the
		// write makes earlier than that of the writer.
		It("takes the first sight of the era from the record, later by the age of the record", func() {
			first := newDuty(nil)
			store.era, now = 1, at(17)
			first.observeEra(1)
			runSteps(first, at(20.6), 2)
			next := newDuty(nil)
			runSteps(next, at(24), 1)
			Expect(next.seenAt).To(Equal(at(20.4)))
		})

		// Guards against two different reports of one window: a late write of an earlier era has the version of a write of this one.
		It("does not report a window again whose report a late write of an earlier era would replace", func() {
			counts := map[int64]map[string]float64{1: {"t": 1}, 2: {"t": 4}, 3: {"t": 5}, 4: {"t": 6}}
			store.era, now = 1, at(9)
			first, second, third := newDuty(counts), newDuty(counts), newDuty(counts)
			first.observeEra(1)
			runSteps(first, at(10.4), 6)
			copied := maps.Clone(store.objects)
			runSteps(first, at(15.4), 4)
			runSteps(first, at(20.4), 1) // this write takes effect late
			late := maps.Clone(store.objects)
			store.objects, store.era, now = copied, 2, at(20.7)
			second.observeEra(2)
			third.observeEra(2)
			runSteps(second, at(25.6), 4)
			Expect(cloud.reports).To(HaveKey(int64(4)))
			maps.Copy(store.objects, late)
			counts[4] = map[string]float64{"t": 9}
			runSteps(third, at(27), 8) // strictCloud fails if the counts differ
		})
	})
})
