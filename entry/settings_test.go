package entry

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/clock"
)

var _ = Describe("ParseSettings", func() {
	const required = `
instance: "entry-1"
data_centre: "dc"
store: "10.0.0.1:80"
listen: {callers: "10.0.0.2:1", ready: "10.0.0.2:2", peers: "10.0.0.2:3"}
`

	// Guards against a process that does not start because the platform has no value for a field of the settings file.
	It("keeps the default of a field without value", func() {
		settings, err := ParseSettings([]byte(required + "retries:\n  ratio: \n  window_s: \nalternation_ms: \ncloud: \"\"\nduties: []\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Retries).To(Equal(DefaultSettings().Retries))
		Expect(settings.AlternationMS).To(Equal(3000.0))
	})

	// Guards against a process that starts although its settings have a misspelled key or an invalid value.
	DescribeTable("refuses invalid settings",
		func(more string) {
			_, err := ParseSettings([]byte(required + more))
			Expect(err).To(HaveOccurred())
		},
		Entry("unknown key", "unknown: 1\n"),
		Entry("value of another type", "memory_mb: many\n"),
		Entry("value out of bounds", "usage: {window_s: -1}\n"),
		Entry("address without port", "cloud: \"10.0.0.1\"\n"),
	)

	// Guards against an error that does not say which field is missing.
	It("names a required field that is missing", func() {
		_, err := ParseSettings([]byte("instance: a\n"))
		Expect(err).To(MatchError(ContainSubstring("DataCentre")))
	})
})

var _ = Describe("Reload", func() {
	settings := func() Settings {
		s := DefaultSettings()
		s.Instance, s.DataCentre = "entry-1", "dc"
		s.Retries = Retries{Ratio: 0, Slack: 2, Window: 10}
		return s
	}
	takeExtraSends := func(i *Instance) (n int) {
		for i.budget.Take(clock.Now(), "service") {
			n++
		}
		return n
	}

	// Guards against bounds that change in the settings but apply only after a restart.
	It("changes the bounds in force and keeps the counts", func() {
		i := New(slog.New(slog.DiscardHandler), settings(), Adapter{})
		Expect(takeExtraSends(i)).To(Equal(1))
		changed := settings()
		changed.Retries.Slack = 10
		changed.StopGrace = 4
		Expect(i.needsStart(changed)).To(BeFalse())
		i.Reload(changed)
		Expect(takeExtraSends(i)).To(Equal(5)) // 60 % of 10 (retrybudget), less the one counted before
		Expect(time.Duration(i.stopGrace.Load())).To(Equal(4 * time.Second))
	})

	// Guards against a changed setting that a reload neither applies nor reports.
	It("reports that a changed address applies from the next start", func() {
		i := New(slog.New(slog.DiscardHandler), settings(), Adapter{})
		changed := settings()
		changed.Store = "10.0.0.9:80"
		Expect(i.needsStart(changed)).To(BeTrue())
	})
})

var _ = Describe("Times derived from the bounds", func() {
	// Guards against late changes (CONFIG) and late departures (DRAIN) on deployments with shorter bounds than the
	// defaults.
	DescribeTable("follow the shorter bound and let the configuration be older than one watch",
		func(applyMS, leaveMS float64, wait time.Duration) {
			s := DefaultSettings()
			s.ApplyMS, s.LeaveMS = applyMS, leaveMS
			Expect(s.watchWait()).To(Equal(wait))
			Expect(s.maxConfigAge()).To(BeNumerically(">", s.watchWait()))
			chain := 2*s.sharedWatchWait() + s.sharedWatchGap() + copyMargin + s.relayWait() + s.relayMargin()
			Expect(chain).To(BeNumerically("<", milliseconds(min(applyMS, leaveMS))))
		},
		Entry("default bounds", 2000.0, 2000.0, 1100*time.Millisecond),
		Entry("short time to leave", 2000.0, 1000.0, 550*time.Millisecond),
		Entry("longer bounds", 3000.0, 3000.0, 1650*time.Millisecond),
	)
})

var _ = Describe("Bounds derived from the memory", func() {
	// Guards against a history of changes that exceeds the memory of a process (LOST), or that holds no change of a large
	// configuration, so that each reader lists at each change.
	DescribeTable("hold one object of the largest size and are a small share",
		func(memoryMB int) {
			s := DefaultSettings()
			s.MemoryMB = memoryMB
			Expect(s.maxHistoryBytes()).To(BeNumerically(">", 1<<20))
			kinds := len(New(slog.New(slog.DiscardHandler), s, Adapter{}).copies)
			Expect(kinds * s.maxHistoryBytes()).To(BeNumerically("<=", memoryMB<<20/50))
		},
		Entry("smallest machine", 184),
		Entry("usual machine", 284),
		Entry("large machine", 4096),
	)

	It("are the defaults without a limit", func() { Expect(DefaultSettings().maxHistoryBytes()).To(BeZero()) })
})
