package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"knapweedhoist/entry"
)

// settingsInterval is how often the settings file is compared with what was
// read last; it can change without a signal.
const settingsInterval = time.Second

// settingsFile reads an entry instance's settings again when they change. Its
// methods are called from one goroutine.
type settingsFile struct {
	lg     *slog.Logger
	path   string
	reload func(entry.Settings)
	// content is what was read last; a file that cannot be read leaves it.
	content []byte
	// unreadable tells that the last read failed, which is logged once.
	unreadable bool
}

func newSettingsFile(lg *slog.Logger, path string, content []byte, reload func(entry.Settings)) *settingsFile {
	return &settingsFile{lg: lg, path: path, content: content, reload: reload}
}

// follow reads the settings at each signal of changed and in between until the end of ctx.
func (f *settingsFile) follow(ctx context.Context, changed <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			f.lg.Info("settings are read again", "file", f.path, "cause", "signal")
			f.check()
		case <-ticker.C:
			f.check()
		}
	}
}

// check takes the settings in if the file differs from what was read last.
func (f *settingsFile) check() {
	content, err := os.ReadFile(f.path)
	if err != nil {
		f.failed(err)
		return
	}
	f.unreadable = false
	if bytes.Equal(content, f.content) {
		return
	}
	f.content = content
	settings, err := entry.ParseSettings(content)
	if err != nil {
		f.lg.Error("settings not reloaded, the former ones stay in force", "file", f.path, "error", err.Error())
		return
	}
	f.reload(settings)
}

func (f *settingsFile) failed(err error) {
	if !f.unreadable {
		f.lg.Error("settings not reloaded, the former ones stay in force", "file", f.path, "error", err.Error())
	}
	f.unreadable = true
}
