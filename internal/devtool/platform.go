package devtool

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"knapweedhoist/platform/platformtest"
)

// platformCommand runs entry instances on stand-ins of the users' platform.
type platformCommand struct {
	Keep bool `long:"keep" description:"Keep the sample running until it is interrupted, and print example commands"`

	stdout io.Writer
	stderr io.Writer
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) (err error) {
	lg := slog.New(slog.DiscardHandler)
	if c.Keep {
		lg = slog.New(slog.NewJSONHandler(c.stderr, nil))
	}
	sample, err := platformtest.StartSample(lg)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, sample.Close()) }()
	if err := sample.Check(c.stdout); err != nil || !c.Keep {
		return err
	}
	if _, err := fmt.Fprint(c.stdout, sample.ExampleCommands()); err != nil {
		return err
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	<-interrupted
	return nil
}
