package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/fleetstate"
	"knapweedhoist/quarantine"
	"knapweedhoist/walltime"
)

var _ = Describe("What a message tells", func() {
	const process, key = 7, quarantine.Key(8)

	// Guards against the end of a former limit that lifts a limit stated since, a limit that returns after its end, and an answer that
	// lifts a quarantine which began after it, because their message was read late.
	DescribeTable("is as old as it is when the message was read late", func(handle func(i *Instance, sender fleetstate.Sender, state fleetstate.State)) {
		i := &Instance{
			state: deployment.NewState(), wall: walltime.NewEstimator("a"), freshPeers: newFreshPeers(),
			fleet: fleetstate.NewFleet(fleetstate.Config{Self: fleetstate.Source{Instance: "a", Boot: 1}, DataCentre: "near"}),
		}
		i.updateWallTime()
		limits := endpointlimit.New()
		limits.Observe(time.Now().Add(-time.Second), time.Now().Add(-time.Second), process, endpointlimit.Statement{Kind: endpointlimit.Named, PerSecond: 2})
		sender := fleetstate.Sender{
			Source: fleetstate.Source{Instance: "b", Boot: 1}, DataCentre: "near", Sequence: 1, Interval: time.Second,
			Wall: i.wallNow().Add(-10 * time.Second),
		}
		handle(i, sender, fleetstate.State{
			Limits: endpointlimit.Records{
				{Process: process, Ended: true, Age: 50 * time.Millisecond}, {Process: process + 1, PerSecond: 2, Age: 50 * time.Millisecond},
			},
			Evidence: quarantine.Evidence{Answers: []quarantine.Answer{{Key: key, Age: 50 * time.Millisecond}}},
		})
		others := i.fleet.Advance(clock.Now(), 1)
		Expect(others.Evidence.Answers).To(HaveLen(1))
		Expect(others.Evidence.Answers[0].Age).To(BeNumerically(">=", 10*time.Second))
		known := others.Limits
		Expect(known).To(HaveLen(2))
		Expect(known[0].Age).To(BeNumerically(">=", 10*time.Second))
		Expect(known[1].Age).To(BeNumerically(">=", 9900*time.Millisecond))
		Expect(limits.Merge(time.Now(), known[:1])).To(BeEmpty())
	},
		Entry("a report", func(i *Instance, sender fleetstate.Sender, state fleetstate.State) {
			i.handleReport(fleetstate.Report{Sender: sender, State: state})
		}),
		Entry("a summary", func(i *Instance, sender fleetstate.Sender, state fleetstate.State) {
			sender.DataCentre = "far"
			i.handleSummary(fleetstate.Summary{Sender: sender, Live: 1, State: state})
		}),
		Entry("a digest", func(i *Instance, sender fleetstate.Sender, state fleetstate.State) {
			i.handleDigest(fleetstate.Digest{Sender: sender, Live: 1, State: state})
		}),
	)
})
