package devtool

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"knapweedhoist"
	"knapweedhoist/settings"
)

// cluster is the sample deployment with its entry instances, all in this process.
type cluster struct {
	*deployment
	entries []*entry
	group   errgroup.Group
	stop    context.CancelFunc
}

// entry is one entry instance of a cluster and its settings.
type entry struct {
	*knapweedhoist.Instance
	cfg settings.Settings
}

// sampleEntryCount is the number of entry instances of the demonstration.
const sampleEntryCount = 8

// startCluster starts the stand-ins and the given number of entry instances. It does not wait until they are ready.
func startCluster(ctx context.Context, lg *slog.Logger, entries int, size topology) (*cluster, error) {
	deployment, err := startDeployment(ctx, lg, size)
	if err != nil {
		return nil, err
	}
	// The end of ctx must not start a planned stop of the entry instances; close aborts them.
	lifetime, stop := context.WithCancel(context.WithoutCancel(ctx))
	s := &cluster{deployment: deployment, stop: stop}
	for n := range entries {
		if err := s.startEntry(lifetime, lg, n); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *cluster) startEntry(ctx context.Context, lg *slog.Logger, n int) error {
	cfg, err := s.entrySettings(n)
	if err != nil {
		return err
	}
	s.addToRoster(cfg.Instance, cfg.Datacentre, cfg.Listen.Heartbeats)
	instance, err := knapweedhoist.New(lg, cfg)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, &entry{Instance: instance, cfg: cfg})
	s.group.Go(func() error { return instance.Run(ctx) })
	return nil
}

// startTimeout bounds the time until all entry instances are ready.
const startTimeout = 15 * time.Second

// waitReady polls the entry instances until all are ready, for at most startTimeout in total.
func (s *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range s.entries {
		for !isReady(ctx, e.cfg.Listen.Callers) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready after %s", e.cfg.Instance, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close aborts the entry instances, waits until they have stopped and closes the stand-ins.
func (s *cluster) close() {
	for _, e := range s.entries {
		e.Abort()
	}
	_ = s.group.Wait()
	s.stop()
	_ = s.Close()
}
