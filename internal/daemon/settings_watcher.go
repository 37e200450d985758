package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"knapweedhoist/entry"
)

// settingsPollInterval is the interval at which the settings file is compared
// with the last content read, since the file can change without a signal.
const settingsPollInterval = time.Second

// settingsWatcher reloads the settings of an entry instance when their file
// changes.
type settingsWatcher struct {
	lg     *slog.Logger
	path   string
	reload func(entry.Settings)

	mu sync.Mutex // guards the fields below and serialises reload
	// lastContent is the last content read, valid or not; a failed read does not change it.
	lastContent []byte
	// unreadable is true if the last read failed. Only the first of consecutive failures is logged.
	unreadable bool
}

func newSettingsWatcher(lg *slog.Logger, path string, content []byte, reload func(entry.Settings)) *settingsWatcher {
	return &settingsWatcher{lg: lg, path: path, lastContent: content, reload: reload}
}

// watch checks the file on each signal from hangups and every settingsPollInterval, until ctx ends.
func (w *settingsWatcher) watch(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.lg.Info("reading settings file", "file", w.path, "cause", "signal")
			w.reloadIfChanged()
		case <-ticker.C:
			w.reloadIfChanged()
		}
	}
}

// reloadIfChanged applies the settings if the file differs from the last content read and is valid.
func (w *settingsWatcher) reloadIfChanged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.logReadError(err)
		return
	}
	w.unreadable = false
	if bytes.Equal(content, w.lastContent) {
		return
	}
	w.lastContent = content
	settings, err := entry.ParseSettings(content)
	if err != nil {
		w.lg.Error("settings not reloaded, the previous ones stay in force", "file", w.path, "error", err.Error())
		return
	}
	w.reload(settings)
}

func (w *settingsWatcher) logReadError(err error) {
	if !w.unreadable {
		w.lg.Error("settings not reloaded, the previous ones stay in force", "file", w.path, "error", err.Error())
	}
	w.unreadable = true
}
