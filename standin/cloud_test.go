package standin_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/cloud"
	"knapweedhoist/roster"
	"knapweedhoist/standin"
)

var offers = []cloud.Offer{
	{Zone: "hwh", Datacentre: "hwh", Class: "general", Reclaimable: true, PricePerHour: 3600},
	{Zone: "slg", Datacentre: "slg", Class: "general", PricePerHour: 7200},
}

func order(id, zone string) cloud.StartOrder {
	return cloud.StartOrder{OperationID: id, Zone: zone, Class: "general", Reclaimable: zone == "hwh"}
}

var _ = Describe("cloud over HTTP", func() {
	var (
		server *standin.Cloud
		client *cloud.Client
		ctx    context.Context
	)
	BeforeEach(func() {
		server = standin.NewCloud(discardLog, standin.CloudConfig{Offers: offers, Capacity: 2, StartTime: -1, ChecksFence: true, Notice: hangGuard})
		client = cloud.NewClient(discardLog, cloud.ClientConfig{Address: start(server), Timeout: hangGuard})
		DeferCleanup(client.Close)
		ctx = contextWithHangGuard()
	})

	It("guards against a repeated start order that launches a second instance, and a refusal mapped to a wrong error", func() {
		Expect(client.Offers(ctx)).To(Equal(offers))
		server.Faults.Add(standin.Fault{Kind: standin.FaultLostReply, Op: "start", Count: 1})
		_, err := client.StartInstance(ctx, order("a", "hwh"))
		Expect(err).To(MatchError(cloud.ErrUnavailable))
		first, err := client.StartInstance(ctx, order("a", "hwh"))
		Expect(err).NotTo(HaveOccurred())
		Expect(first.State).To(Equal(cloud.StateRunning))
		Expect(client.Instances(ctx)).To(Equal([]cloud.Instance{first}))
		_, err = client.StartInstance(ctx, order("b", "hwh"))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.StartInstance(ctx, order("c", "hwh"))
		Expect(err).To(MatchError(cloud.ErrRefused))
		_, err = client.StartInstance(ctx, order("d", "nowhere"))
		Expect(err).To(MatchError(cloud.ErrInvalid))
		Expect(client.StopInstance(ctx, cloud.StopOrder{ID: first.ID, Fence: 7})).To(Succeed())
		Expect(client.StopInstance(ctx, cloud.StopOrder{ID: first.ID, Fence: 7})).To(MatchError(cloud.ErrNotFound))
		stale := order("e", "hwh")
		stale.Fence = 6
		_, err = client.StartInstance(ctx, stale)
		Expect(err).To(MatchError(cloud.ErrStaleFence))
		server.Faults.Add(standin.Fault{Kind: standin.FaultRefuse, Op: "offers", Count: 1})
		_, err = client.Offers(ctx)
		Expect(err).To(MatchError(cloud.ErrThrottled))
	})

	It("guards against a reclaim that omits a reclaimable instance or includes an on-demand one", func() {
		for _, o := range []cloud.StartOrder{order("a", "hwh"), order("b", "hwh"), order("c", "slg")} {
			_, err := client.StartInstance(ctx, o)
			Expect(err).NotTo(HaveOccurred())
		}
		server.Faults.Add(standin.Fault{Kind: standin.FaultGap, Op: "notice", Count: 1})
		Expect(server.Reclaim(standin.InZone("hwh"))).To(Equal(2))
		Expect(server.Reclaim(standin.InDatacentre("slg"))).To(BeZero())
		notices, err := client.Notices(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(notices).To(HaveLen(1))
		Expect(notices[0].Sequence).To(Equal(uint64(2)))
		Expect(client.Notices(ctx, 2)).To(BeEmpty())
	})
})

// Guards against an instance state that does not match the clock, and a cost that uses a changed price.
func TestCloudTime(t *testing.T) {
	g := NewWithT(t)
	clock := standin.NewManualClock(time.Unix(1000, 0))
	c := standin.NewCloud(discardLog, standin.CloudConfig{Clock: clock, Offers: offers, StartTime: time.Second, Notice: 5 * time.Second})
	states := func() (states []cloud.State) {
		list, err := c.Instances(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		for _, instance := range list {
			states = append(states, instance.State)
		}
		return states
	}
	_, err := c.StartInstance(t.Context(), order("a", "hwh"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(states()).To(Equal([]cloud.State{cloud.StateStarting}))
	clock.Advance(time.Second)
	g.Expect(states()).To(Equal([]cloud.State{cloud.StateRunning}))
	c.SetPrice("hwh", "general", true, 1)
	c.Reclaim(standin.InZone("hwh"))
	clock.Advance(4 * time.Second)
	g.Expect(states()).To(Equal([]cloud.State{cloud.StateLeaving}))
	clock.Advance(time.Minute)
	g.Expect(states()).To(BeEmpty())
	g.Expect(c.Spent()).To(BeNumerically("~", 6, 1e-9))
	_, err = c.StartInstance(t.Context(), order("a", "hwh"))
	g.Expect(err).To(MatchError(cloud.ErrRefused))
}

var _ = Describe("list over HTTP", func() {
	It("guards against a list that shows a change before its lag has passed, or never shows it", func() {
		clock := standin.NewManualClock(time.Unix(1000, 0))
		server := standin.NewRoster(discardLog, standin.RosterConfig{Clock: clock, Lag: 2 * time.Second})
		client := roster.NewClient(discardLog, roster.ClientConfig{Address: start(server), Timeout: hangGuard})
		DeferCleanup(client.Close)
		ctx := contextWithHangGuard()
		entry := roster.Entry{ID: "i-1", Incarnation: "01J", Kind: roster.KindEntry, Datacentre: "hwh", Address: "127.0.0.1:9", State: roster.StateLive}
		read := func() roster.Snapshot {
			snapshot, err := client.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			return snapshot
		}
		server.Set(entry)
		Expect(read().Entries).To(BeEmpty())
		clock.Advance(2 * time.Second)
		Expect(read()).To(Equal(roster.Snapshot{AtMs: 1000_000, Entries: []roster.Entry{entry}}))
		server.Remove("i-1")
		server.Faults.Add(standin.Fault{Kind: standin.FaultLag, Delay: 5 * time.Second, Count: 1})
		clock.Advance(2 * time.Second)
		Expect(read().Entries).To(HaveLen(1))
		Expect(read().Entries).To(BeEmpty())
		Expect(server.Close()).To(Succeed())
		_, err := client.Read(ctx)
		Expect(err).To(MatchError(roster.ErrUnavailable))
	})
})
