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

// standinsCommand runs the stand-ins of the sample deployment and writes the settings files of entry daemons.
type standinsCommand struct {
	Dir     string `long:"dir" description:"Folder for the settings files of the entry daemons" required:"true" value-name:"DIR"`
	Entries int    `long:"entries" description:"Number of settings files" default:"8" value-name:"N"`

	Datacentres int `long:"datacentres" description:"Number of data centres, 1 to 4" default:"4" value-name:"N"`
	Engines     int `long:"engines" description:"Number of model engines" default:"10" value-name:"N"`
	Services    int `long:"services" description:"Number of plain service endpoints" default:"4" value-name:"N"`

	Console string `long:"console" description:"Loopback address of the HTTP console that injects faults" value-name:"IP:PORT"`

	stdout io.Writer
	stderr io.Writer
}

func (c *standinsCommand) topology() topology {
	n := min(max(1, c.Datacentres), len(sampleDatacentres))
	return topology{datacentres: sampleDatacentres[:n], engines: c.Engines, services: c.Services}
}

// Execute implements flags.Commander.
func (c *standinsCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	lg := slog.New(slog.NewTextHandler(c.stderr, nil))
	deployment, err := startDeployment(ctx, lg, c.topology())
	if err != nil {
		return err
	}
	defer func() { _ = deployment.Close() }()
	console, err := startConsole(deployment, c.Console)
	if err != nil {
		return err
	}
	defer console.close()
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
