package devtool

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// standinsCommand runs the stand-ins of the sample deployment.
type standinsCommand struct {
	Dir     string `long:"dir" description:"Folder for the settings files of the entry daemons" required:"true" value-name:"DIR"`
	Entries int    `long:"entries" description:"Number of settings files" default:"8" value-name:"N"`

	stdout io.Writer
	stderr io.Writer
}

// Execute implements flags.Commander.
func (c *standinsCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	lg := slog.New(slog.NewTextHandler(c.stderr, nil))
	deployment, err := startDeployment(ctx, lg)
	if err != nil {
		return err
	}
	defer func() { _ = deployment.Close() }()
	for n := range c.Entries {
		path := filepath.Join(c.Dir, fmt.Sprintf("entry-%d.yaml", n+1))
		if err := deployment.writeSettings(path, n); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(c.stdout, path)
	}
	<-ctx.Done()
	return nil
}
