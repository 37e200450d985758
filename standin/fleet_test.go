package standin_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/cloud"
	"knapweedhoist/engine"
	"knapweedhoist/roster"
	"knapweedhoist/standin"
)

var _ = Describe("fleet", func() {
	It("guards against endpoints that do not match the cloud's instances after a reclaim, a start or a stop, or list entries that do not show a notice or a start", func() {
		clock := standin.NewManualClock(time.Unix(1000, 0))
		fleet := standin.NewFleet(discardLog, standin.FleetConfig{
			Clock: clock, Service: standin.ServiceConfig{ServiceTime: -1},
		})
		Expect(fleet.Start()).To(Succeed())
		DeferCleanup(fleet.Close)
		ctx := contextWithHangGuard()
		list := roster.NewClient(discardLog, roster.ClientConfig{Address: fleet.Roster.Addr(), Timeout: hangGuard})
		DeferCleanup(list.Close)
		countListed := func(state roster.State) (n int) {
			snapshot, err := list.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			for _, entry := range snapshot.Entries {
				if entry.State == state {
					n++
				}
			}
			return n
		}
		// The default fleet has 10 engines and 4 services; kol-a has 3 of the engines and 1 of the services.
		Expect(countListed(roster.StateLive)).To(Equal(14))
		for _, member := range fleet.Members() {
			if member.Service != nil {
				Expect(post(ctx, member.Entry.Address, "/dispatches", "k", "b")).To(Equal(http.StatusCreated))
				break
			}
		}

		Expect(fleet.Cloud.Reclaim(standin.InDatacentre("kol-a"))).To(Equal(4))
		leavingEngine := engineClient(findEngine(fleet, "kol-a").Entry.Address)
		_, _, err := streamTokens(ctx, leavingEngine, prompt("r1", "x"))
		Expect(err).To(MatchError(engine.ErrLeaving))
		clock.Advance(2 * time.Second)
		Expect(countListed(roster.StateLeaving)).To(Equal(4))
		clock.Advance(3 * time.Second)
		Eventually(fleet.Removed, hangGuard).Should(HaveLen(4))
		_, _, err = streamTokens(ctx, leavingEngine, prompt("r1", "x"))
		Expect(err).To(MatchError(engine.ErrUnreachable))

		instance, err := fleet.Cloud.StartInstance(ctx, cloud.StartOrder{
			OperationID: "replacement", Zone: "hwh", Class: standin.ClassAccelerator, Service: "scribe-pool",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(fleet.Members()).To(HaveLen(11))
		Eventually(func() int {
			clock.Advance(time.Second)
			return countListed(roster.StateLive)
		}, hangGuard).Should(Equal(11))
		Expect(fleet.Cloud.StopInstance(ctx, cloud.StopOrder{ID: instance.ID})).To(Succeed())
		Expect(fleet.Members()).To(HaveLen(10))
	})
})

func findEngine(fleet *standin.Fleet, datacentre string) standin.Member {
	for _, member := range fleet.Members() {
		if member.Engine != nil && member.Entry.Datacentre == datacentre {
			return member
		}
	}
	Fail("no engine in " + datacentre)
	return standin.Member{}
}
