package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
	"knapweedhoist/sizing"
	"knapweedhoist/usage"
)

// memoryStore is an object API for one object.
type memoryStore struct {
	object objectapi.Object
	// loseNext makes the next write take effect without an answer.
	loseNext bool
}

func (s *memoryStore) Do(_ context.Context, request objectapi.Request) (objectapi.Reply, error) {
	switch {
	case request.Op == objectapi.OpGet && s.object.Version == 0:
		return objectapi.Reply{}, objectapi.ErrNotFound
	case request.Op == objectapi.OpGet:
		return objectapi.Reply{Object: s.object}, nil
	case request.Condition.IfAbsent && s.object.Version != 0,
		request.Condition.IfVersion != 0 && request.Condition.IfVersion != s.object.Version:
		return objectapi.Reply{Object: s.object}, objectapi.ErrConflict
	}
	s.object = objectapi.Object{Version: s.object.Version + 1, Value: request.Value}
	if s.loseNext {
		s.loseNext = false
		return objectapi.Reply{}, objectapi.ErrUnavailable
	}
	return objectapi.Reply{Object: s.object}, nil
}

// strictCloud fails the test when two reports of a window differ.
type strictCloud struct {
	reports map[int64]usage.Counts
	fail    bool
}

func (c *strictCloud) ReportUsage(_ context.Context, _ Holder, window int64, counts usage.Counts) error {
	if c.fail {
		return ErrUnavailable
	}
	if known, ok := c.reports[window]; ok {
		Expect(counts).To(Equal(known))
	}
	c.reports[window] = counts
	return nil
}

func (c *strictCloud) Resize(context.Context, Holder, sizing.Size) error { return nil }

var _ = Describe("usageDuty", func() {
	var (
		store  *memoryStore
		cloud  *strictCloud
		ctx    = context.Background()
		source = usage.Source{Instance: "a", Boot: 1}
	)
	at := func(s float64) time.Time { return time.Unix(0, int64(s*1e9)) }
	allow := func() (Holder, error) { return Holder{Name: "a", Fence: 1}, nil }
	newDuty := func(counts map[int64]usage.Counts) *usageDuty {
		ledger := usage.NewLedger(5*time.Second, source)
		ledger.Merge(usage.Source{Instance: "b", Boot: 2}, counts)
		return &usageDuty{lg: slog.New(slog.DiscardHandler), cfg: Config{}.withDefaults(), store: store, cloud: cloud, ledger: ledger}
	}
	steps := func(d *usageDuty, wall time.Time, n int) {
		for range n {
			if err := d.step(ctx, wall, allow); err != nil {
				Expect(err).To(Or(MatchError(ErrUnavailable), MatchError(objectapi.ErrUnavailable), MatchError(objectapi.ErrConflict)))
			}
		}
	}

	BeforeEach(func() {
		store, cloud = &memoryStore{}, &strictCloud{reports: make(map[int64]usage.Counts)}
	})

	It("reports each window after it has settled", func() {
		d := newDuty(map[int64]usage.Counts{2: {"t": 4}})
		steps(d, at(15.1), 3)
		Expect(cloud.reports).NotTo(HaveKey(int64(2)))
		steps(d, at(16.6), 6)
		Expect(cloud.reports[2]).To(Equal(usage.Counts{"t": 4}))
	})

	// Guards against ONE: a successor that counted differently reports the same window.
	It("repeats what the former holder stored, although it counted otherwise", func() {
		cloud.fail = true
		steps(newDuty(map[int64]usage.Counts{1: {"t": 4}}), at(16.6), 6) // stored, never sent
		cloud.fail = false
		steps(newDuty(map[int64]usage.Counts{1: {"t": 9}}), at(17), 6)
		Expect(cloud.reports[1]).To(Equal(usage.Counts{"t": 4}))
	})

	// Guards against ONE: the answer to the write of the record is lost, and the counts change meanwhile.
	It("reads the record again when a write has no answer", func() {
		d := newDuty(map[int64]usage.Counts{2: {"t": 4}})
		steps(d, at(16.6), 1)
		store.loseNext = true
		steps(d, at(16.6), 1)
		d.ledger.Merge(usage.Source{Instance: "c", Boot: 3}, map[int64]usage.Counts{2: {"t": 1}, 1: {"t": 1}})
		steps(d, at(16.7), 8)
		var stored usageRecord
		stored, err := decodeUsageRecord(store.object)
		Expect(err).NotTo(HaveOccurred())
		for _, report := range stored.Reports {
			Expect(cloud.reports[report.Window]).To(Equal(report.Counts))
		}
	})

	It("gives a window up when its report is no longer due", func() {
		d := newDuty(map[int64]usage.Counts{2: {"t": 4}})
		cloud.fail = true
		steps(d, at(16.6), 6)
		cloud.fail = false
		steps(d, at(26), 2)
		Expect(cloud.reports).NotTo(HaveKey(int64(2)))
	})

	It("sends nothing without the lease", func() {
		d := newDuty(map[int64]usage.Counts{2: {"t": 4}})
		for range 6 {
			if err := d.step(ctx, at(16.6), func() (Holder, error) { return Holder{}, errors.New("not held") }); err != nil {
				Expect(err).To(MatchError("not held"))
			}
		}
		Expect(cloud.reports).To(BeEmpty())
	})
})
