package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/oops"

	"knapweedhoist/boundedlog"
	"knapweedhoist/entry"
	"knapweedhoist/internal/commandline"
	"knapweedhoist/platform"
)

// entryCommand runs an entry instance on the users' platform.
type entryCommand struct {
	Config string `short:"c" long:"config" description:"Settings file (YAML); default is the file that the platform names" value-name:"FILE"`
	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	// The default action of these signals would end a process that is still starting.
	hangups, terminations := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	path := c.Config
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, content, err := loadEntry(path)
	if err != nil {
		return err
	}
	ignoreBrokenOutput()
	limitMemory(settings.MemoryMB)
	log := boundedlog.New(c.stdout, boundedlog.Config{Level: slog.LevelInfo})
	defer log.Close()
	instance := entry.New(log.Logger, settings, platform.NewAdapter(settings.Store, settings.Cloud))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := newSettingsWatcher(log.Logger, path, content, instance.Reload)
	go watcher.watch(ctx, hangups)
	go stopOnSignal(terminations, watcher.reloadIfChanged, instance.Stop)
	return instance.Run(ctx)
}

// loadEntry reads the settings of an entry instance from path and returns them with the content of the file. An
// unreadable file and invalid settings give a UsageError.
func loadEntry(path string) (entry.Settings, []byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return entry.Settings{}, nil, &commandline.UsageError{Err: oops.With("step", "read settings").Wrap(err)}
	}
	settings, err := entry.ParseSettings(content)
	if err != nil {
		return entry.Settings{}, nil, &commandline.UsageError{Err: oops.With("step", "read settings", "file", path).Wrap(err)}
	}
	return settings, content, nil
}

// memoryLimitFraction is the fraction of the process's memory that is set as the soft
// memory limit of the Go runtime; the garbage collector runs more often near
// that limit. The rest is for memory that the limit does not count, such as the
// buffers of sockets.
const memoryLimitFraction = 0.6

// limitMemory sets the soft memory limit of the Go runtime. It sets none if memoryMB is 0 or below.
func limitMemory(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB) * memoryLimitFraction * (1 << 20)))
	}
}

// ignoreBrokenOutput makes writes to a closed standard output or standard error fail, instead of ending the process.
func ignoreBrokenOutput() { signal.Ignore(syscall.SIGPIPE) }

// maxReloadTime bounds how long a planned stop waits for the settings file: less than the time that it leaves of the grace period.
const maxReloadTime = 200 * time.Millisecond

// stopOnSignal starts a planned stop on the first signal. It reloads the settings before, since the grace period may have been
// changed less than settingsPollInterval ago.
func stopOnSignal(signals <-chan os.Signal, reload, stop func()) {
	<-signals
	reloaded := make(chan struct{})
	go func() {
		defer close(reloaded)
		reload()
	}()
	select {
	case <-reloaded:
	case <-time.After(maxReloadTime):
	}
	stop()
}
