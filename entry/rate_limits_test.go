package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/fleetstate"
	"knapweedhoist/walltime"
)

var _ = Describe("The rate limits in a message", func() {
	const process = 7

	// Guards against the end of a former limit that lifts a limit stated since, because its message was read late.
	DescribeTable("are as old as they are when the message was read late", func(handle func(i *Instance, sender fleetstate.Sender, state fleetstate.State)) {
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
		handle(i, sender, fleetstate.State{Limits: endpointlimit.Records{{Process: process, Ended: true, Age: 50 * time.Millisecond}}})
		known := i.fleet.Advance(clock.Now(), 1).Limits
		Expect(known).To(HaveLen(1))
		Expect(known[0].Age).To(BeNumerically(">=", 10*time.Second))
		Expect(limits.Merge(time.Now(), known)).To(BeEmpty())
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
