package devtool

import (
	"context"
	"log/slog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("deployment", func() {
	It("guards against deployments on one machine that share a fleet key and so accept each other's frames, and entry instances of one deployment with different keys", func() {
		keys := make(map[string]bool)
		for range 2 {
			d, err := startDeployment(context.Background(), slog.New(slog.DiscardHandler), topology{
				datacentres: sampleDatacentres[:1], engines: 1, services: 1,
			})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(d.Close)
			first, err := d.entrySettings(0)
			Expect(err).NotTo(HaveOccurred())
			second, err := d.entrySettings(1)
			Expect(err).NotTo(HaveOccurred())
			Expect(second.FleetKey).To(Equal(first.FleetKey))
			keys[string(first.FleetKey)] = true
		}
		Expect(keys).To(HaveLen(2))
	})
})
