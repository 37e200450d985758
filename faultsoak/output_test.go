package faultsoak

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"knapweedhoist/platform/platformtest"
)

// Guards against a daemon that ends, with all its requests, because nothing reads its log any more.
func TestClosedOutput(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	binary, err := buildDaemon(dir)
	g.Expect(err).NotTo(HaveOccurred())
	platform, err := platformtest.NewPlatform()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(platform.Close()).To(Succeed()) }()
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reader.Close()).To(Succeed())
	p := &process{
		name: "entry-1", binary: binary, settingsPath: filepath.Join(dir, "entry.yaml"), log: writer, host: loopbackAddress(249, 0),
	}
	g.Expect(p.writeSettings(platform.Store.Addr(), platform.Cloud.Address(), retrySlack)).To(Succeed())
	g.Expect(p.start()).To(Succeed())
	defer p.kill()
	g.Eventually(func() bool { return p.isReady() || isClosed(p.exited) }, hangTimeout).Should(BeTrue())
	g.Expect(isClosed(p.exited)).To(BeFalse())
}
