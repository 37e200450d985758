package daemon

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"knapweedhoist/entry"
)

const sampleSettings = `
instance: "entry-1"
data_centre: "dc"
store: "10.0.0.1:80"
listen: {callers: "10.0.0.2:1", ready: "10.0.0.2:2", peers: "10.0.0.2:3"}
`

// Guards against a valid change that is not applied, or is applied twice, and an unchanged file that is applied; an
// invalid or missing file that causes a reload; and an error that is logged more than once while the file stays invalid
// or missing.
func TestSettingsFile(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	var log bytes.Buffer
	var reloaded []entry.Settings
	watcher := newSettingsWatcher(slog.New(slog.NewTextHandler(&log, nil)), path, []byte(sampleSettings), func(s entry.Settings) {
		reloaded = append(reloaded, s)
	})
	write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }

	write(sampleSettings)
	watcher.reloadIfChanged()
	g.Expect(reloaded).To(BeEmpty())

	write(sampleSettings + "retries: {slack: 7}\n")
	watcher.reloadIfChanged()
	watcher.reloadIfChanged()
	g.Expect(reloaded).To(HaveLen(1))
	g.Expect(reloaded[0].Retries.Slack).To(Equal(7.0))

	write("instance: [")
	g.Expect(func() { watcher.reloadIfChanged(); watcher.reloadIfChanged() }).NotTo(Panic())
	g.Expect(os.Remove(path)).To(Succeed())
	watcher.reloadIfChanged()
	watcher.reloadIfChanged()
	g.Expect(reloaded).To(HaveLen(1))
	g.Expect(strings.Count(log.String(), "settings not reloaded")).To(Equal(2))
}

// Guards against a planned stop that goes by a grace period that was replaced just before it, and is killed before it has
// answered its requests; and against one that waits for a file that cannot be read.
func TestSettingsAtAPlannedStop(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	grace := 0.0
	watcher := newSettingsWatcher(slog.New(slog.DiscardHandler), path, []byte(sampleSettings), func(s entry.Settings) { grace = s.StopGrace })
	g.Expect(os.WriteFile(path, []byte(sampleSettings+"stop_grace_s: 3\n"), 0o600)).To(Succeed())
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	graceAtStop := 0.0
	stopOnSignal(signals, watcher.reloadIfChanged, func() { graceAtStop = grace })
	g.Expect(graceAtStop).To(Equal(3.0))

	signals <- syscall.SIGTERM
	stopped, release := false, make(chan struct{})
	defer close(release)
	stopOnSignal(signals, func() { <-release }, func() { stopped = true })
	g.Expect(stopped).To(BeTrue())
}
