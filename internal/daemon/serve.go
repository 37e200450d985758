package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"knapweedhoist"
	"knapweedhoist/internal/commandline"
	"knapweedhoist/settings"
)

// configFlag is the flag that names the settings file.
type configFlag struct {
	Config string `short:"c" long:"config" description:"Settings file (YAML)" required:"true" value-name:"FILE"`
}

// load reads and validates the settings file; any error is a UsageError.
func (f configFlag) load() (settings.Settings, error) {
	loaded, err := settings.Load(f.Config)
	if err != nil {
		return settings.Settings{}, &commandline.UsageError{Err: err}
	}
	return loaded, nil
}

type serveCommand struct {
	configFlag
	stderr io.Writer
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	ignoreBrokenOutput()
	instance, err := knapweedhoist.New(cfg.Log.Logger(c.stderr), cfg)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go stopThenAbort(instance, signals)
	return instance.Run(context.Background())
}

// stopThenAbort starts a planned stop on the first signal and aborts the drain on the second.
func stopThenAbort(instance *knapweedhoist.Instance, signals <-chan os.Signal) {
	<-signals
	instance.Stop()
	<-signals
	instance.Abort()
}
