package entry

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/clock"
	"knapweedhoist/fleetstate"
	"knapweedhoist/streamorigin"
)

var _ = Describe("An instance", func() {
	origin := streamorigin.Origin{Service: originsService, Version: "v1"}
	newInstance := func() *Instance { return New(slog.New(slog.DiscardHandler), DefaultSettings(), Adapter{}) }

	// Guards against take-ups that are refused, or go on at another version, because messages of other instances are dropped (ORDER,
	// LOST).
	It("takes over the origins and versions that other instances state", func() {
		i, now := newInstance(), clock.Now()
		i.messageHandler().Origins(streamorigin.Statement{
			InService: map[streamorigin.Origin]bool{{Service: "t", Version: "v2"}: true},
			Entries:   []streamorigin.Entry{{Key: streamorigin.KeyOf("a"), Origin: origin, Remaining: streamorigin.Lifetime}},
		})
		found, answer := i.origins.directory.Find(now, now, "a", originsService)
		Expect(answer).To(Equal(streamorigin.Known))
		Expect(found).To(Equal(origin))
		Expect(first(i.origins.directory.Versions(now))).To(Equal(map[streamorigin.Origin]bool{origin: true, {Service: "t", Version: "v2"}: true}))
	})

	// Guards against a version that is announced to nobody, since the endpoints were read before the list of the instances (ORDER).
	It("announces a further version when it knows another instance", func() {
		i, now := newInstance(), clock.Now()
		alone, pair := streamorigin.Connection{Complete: true, Instances: 1}, streamorigin.Connection{Instances: 2}
		i.origins.directory.SetListed(now, map[streamorigin.Origin]bool{origin: true, {Service: originsService, Version: "v2"}: true})
		Expect(first(i.origins.update(now, alone)).IsEmpty()).To(BeTrue())
		Expect(first(i.origins.update(now, pair)).Versions()).To(Equal([]string{"s/v1", "s/v2"}))
	})

	// Guards against streams of a new version that go on at the former one at an instance that is cut off or behind (ORDER), and against
	// refusals otherwise (LOST).
	DescribeTable("is certain of the only version", func(arrange func(*Instance, time.Time), answer streamorigin.Answer) {
		i, begin := newInstance(), clock.Now()
		directory := i.origins.directory
		directory.SetListed(begin, map[streamorigin.Origin]bool{origin: true})
		now := begin
		i.updateOrigins(now)
		for range 7 { // the store goes away
			now = now.Add(500 * time.Millisecond)
			if now.Sub(begin) < time.Second {
				directory.Confirm(now, now)
				directory.Read(now)
			}
			arrange(i, now)
			i.updateOrigins(now)
		}
		_, found := directory.Find(now, now, "", originsService)
		Expect(found).To(Equal(answer))
	},
		Entry("if it is connected to all others", func(*Instance, time.Time) {}, streamorigin.Known),
		Entry("unless another one is listed and sends nothing", func(i *Instance, _ time.Time) {
			i.fleet.SetListed(map[string]fleetstate.Listing{"b": {Address: "10.0.0.2:1", DataCentre: i.settings.DataCentre}})
		}, streamorigin.Incomplete),
		Entry("unless another one reaches the store", func(i *Instance, now time.Time) {
			i.freshPeers.observe(now, fleetstate.Sender{Address: "10.0.0.2:1", ConfigVersion: 1})
		}, streamorigin.Incomplete),
	)
})

// first returns the first of two results.
func first[A, B any](a A, _ B) A { return a }
