package daemon

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
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

// Guards against settings that change without a signal and are not seen, a file that cannot be read or parsed and
// replaces settings in force, and a log line for each look at such a file.
func TestSettingsFile(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	var log bytes.Buffer
	var taken []entry.Settings
	file := newSettingsFile(slog.New(slog.NewTextHandler(&log, nil)), path, []byte(sampleSettings), func(s entry.Settings) {
		taken = append(taken, s)
	})
	write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }

	write(sampleSettings)
	file.check()
	g.Expect(taken).To(BeEmpty())

	write(sampleSettings + "retries: {slack: 7}\n")
	file.check()
	file.check()
	g.Expect(taken).To(HaveLen(1))
	g.Expect(taken[0].Retries.Slack).To(Equal(7.0))

	write("instance: [")
	g.Expect(func() { file.check(); file.check() }).NotTo(Panic())
	g.Expect(os.Remove(path)).To(Succeed())
	file.check()
	file.check()
	g.Expect(taken).To(HaveLen(1))
	g.Expect(strings.Count(log.String(), "settings not reloaded")).To(Equal(2))
}
