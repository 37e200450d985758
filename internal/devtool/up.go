package devtool

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// upCommand runs the sample deployment until SIGINT or SIGTERM.
type upCommand struct {
	Entries int    `long:"entries" description:"Number of entry instances" default:"8" value-name:"N"`
	Console string `long:"console" description:"Loopback address of the HTTP console that injects faults" value-name:"IP:PORT"`

	stdout io.Writer
	stderr io.Writer
}

// Execute implements flags.Commander.
func (c *upCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := startCluster(ctx, slog.New(slog.NewTextHandler(c.stderr, &slog.HandlerOptions{Level: slog.LevelWarn})), c.Entries, sampleTopology())
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	console, err := startConsole(s.deployment, c.Console)
	if err != nil {
		return err
	}
	defer console.close()
	c.printUsage(s)
	<-ctx.Done()
	return nil
}

// printUsage prints commands that run unchanged against the deployment.
func (c *upCommand) printUsage(s *cluster) {
	first, second := s.entries[0].cfg.Listen, s.entries[min(1, len(s.entries)-1)].cfg.Listen
	_, _ = fmt.Fprintf(c.stdout, `%d entry instances are ready. Try:

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Is the hall free?"}]}'
curl -i http://%s/services/%s/deposits -H 'Authorization: Bearer %s' -H 'Idempotency-Key: "hall-1"' -d '{"hall":1}'
curl -i http://%s/services/%s/deposits -H 'Authorization: Bearer %s' -H 'Idempotency-Key: "hall-1"' -d '{"hall":1}'
curl http://%s/operator/v1/status -H 'Authorization: Bearer %s'
curl http://%s/metrics -H 'Authorization: Bearer %s'

export HOISTCTL_ADDRESS=%s HOISTCTL_KEY=%s   # for hoistctl

Ctrl-C stops everything.
`, len(s.entries), first.Callers, teamKey("tinku"), sampleModel,
		first.Callers, samplePlainService, teamKey("tinku"),
		second.Callers, samplePlainService, teamKey("tinku"),
		first.Operators, operatorKey, first.Operators, operatorKey, first.Operators, operatorKey)
}
