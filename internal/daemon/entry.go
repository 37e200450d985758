package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

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
	path := c.Config
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := entry.LoadSettings(path)
	if err != nil {
		return &commandline.UsageError{Err: err}
	}
	limitMemory(settings.MemoryMB)
	log := boundedlog.New(c.stdout, boundedlog.Config{Level: slog.LevelInfo})
	defer log.Close()
	instance := entry.New(log.Logger, settings, platform.Adapter(settings.Store, settings.Cloud))
	go handleSignals(instance, log.Logger, path)
	return instance.Run(context.Background())
}

// memoryShare is the part of the process's memory that the Go heap may fill
// before the collector works harder; the rest is for stacks and sockets.
const memoryShare = 0.6

func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * memoryShare * (1 << 20)))
	}
}

// handleSignals stops the instance at SIGTERM and checks changed settings at SIGHUP.
func handleSignals(instance *entry.Instance, lg *slog.Logger, path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for received := range signals {
		if received != syscall.SIGHUP {
			instance.Stop()
			continue
		}
		settings, err := entry.LoadSettings(path)
		if err != nil {
			lg.Error("settings not reloaded", "file", path, "error", err.Error())
			continue
		}
		instance.Reload(settings)
	}
}
