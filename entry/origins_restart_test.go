package entry_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/clock"
	"knapweedhoist/entry"
	"knapweedhoist/objectapi"
	"knapweedhoist/platform"
	"knapweedhoist/platform/platformtest"
	"knapweedhoist/streamorigin"
)

// originsWait bounds each wait; no assertion depends on the time that a wait takes.
const originsWait = 20 * time.Second

// originsFleet is two instances on a platform.
type originsFleet struct {
	platform  *platformtest.Platform
	instances [2]*entry.Instance
	cancel    context.CancelFunc
	done      chan error
}

func newOriginsFleet() *originsFleet {
	p, err := platformtest.NewPlatform()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return &originsFleet{platform: p}
}

// settings returns those of an instance. Its addresses are new: the listeners of a former instance of this process are still open.
func (f *originsFleet) settings(n int) entry.Settings {
	settings := entry.DefaultSettings()
	settings.Instance, settings.DataCentre, settings.NewDeployment = fmt.Sprintf("entry-%d", n+1), "dc-1", true
	settings.Store, settings.Cloud = f.platform.Store.Addr(), f.platform.Cloud.Address()
	// An address of this process alone, at which no other one takes a free port.
	host := net.IPv4(127, byte(64+os.Getpid()>>16), byte(os.Getpid()>>8), byte(os.Getpid())).String()
	for _, address := range []*string{&settings.Listen.Callers, &settings.Listen.Ready, &settings.Listen.Peers} {
		ln, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		*address = ln.Addr().String()
	}
	return settings
}

func (f *originsFleet) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.done = cancel, make(chan error, len(f.instances))
	for n := range f.instances {
		settings := f.settings(n)
		f.instances[n] = entry.New(slog.New(slog.DiscardHandler), settings, platform.NewAdapter(settings.Store, settings.Cloud))
		go func() { f.done <- f.instances[n].Run(ctx) }()
	}
}

// kill ends all instances without a planned stop.
func (f *originsFleet) kill() {
	f.cancel()
	for range f.instances {
		Eventually(f.done, originsWait).Should(Receive(BeNil()))
	}
}

func (f *originsFleet) register(id, version string) {
	Expect(f.platform.Store.Put("servers", id, map[string]any{
		"Service": platformtest.EngineService, "Address": "127.0.0.1:9", "Zone": "dc-1", "Slots": 8, "State": "ready", "Version": version,
	})).To(Succeed())
}

// find returns the version at which an instance continues a stream, "" if it does not know.
func (f *originsFleet) find(n int, id string) string {
	origin, err := entry.OriginsOf(f.instances[n]).Find(context.Background(), id, platformtest.EngineService)
	if err != nil {
		Expect(err).To(MatchError(streamorigin.ErrUnknown))
		return ""
	}
	return origin.Version
}

// storedNames returns the names of the stored objects that state origins of streams.
func (f *originsFleet) storedNames() []string {
	reply, err := f.platform.Store.Apply(objectapi.Request{Op: objectapi.OpList, Kind: objectapi.KindStreamOrigin})
	Expect(err).NotTo(HaveOccurred())
	var names []string
	for _, object := range reply.Objects {
		names = append(names, object.Name)
	}
	return names
}

var _ = Describe("Instances that share a platform", func() {
	// Guards against streams that go on at another version at an instance that did not begin them, or after all instances were killed
	// and the old version has left meanwhile (ORDER).
	It("know the version of a stream that another one began, also after all were killed", func() {
		f := newOriginsFleet()
		f.register("old", "v1")
		f.register("new", "v2")
		f.start()
		origin := streamorigin.Origin{Service: platformtest.EngineService, Version: "v1"}
		entry.OriginsOf(f.instances[0]).Record("stream", origin, clock.Now().Add(streamorigin.Lifetime))
		Eventually(func() string { return f.find(1, "stream") }, originsWait).Should(Equal("v1"))
		Eventually(f.storedNames, originsWait).Should(ContainElement(HavePrefix("entry-1-")))
		f.kill()
		Expect(f.platform.Unregister("old")).To(Succeed())
		f.start()
		defer f.kill()
		for n := range f.instances {
			Eventually(func() string { return f.find(n, "stream") }, originsWait).Should(Equal("v1"))
		}
		Expect(f.find(0, "unknown")).To(BeEmpty())
	})
})
