package knapweedhoist

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"knapweedhoist/handover"
	"knapweedhoist/internal/wait"
)

// handoverTick is the time between two looks at a handover in progress.
const handoverTick = 100 * time.Millisecond

// Run serves until ctx ends or the instance is reclaimed, and then stops
// gracefully. A process that must stop early calls Abort.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	if err := i.beats.Start(ctx); err != nil {
		listeners.close()
		return stepError("listen", i.cfg.Listen.Heartbeats, err)
	}
	i.lg.Info("instance started", "incarnation", i.incarnation, "callers", i.cfg.Listen.Callers)
	work := i.drain.alive()
	group, _ := errgroup.WithContext(work)
	group.Go(func() error { i.hub.run(work); return nil })
	group.Go(func() error { return i.gateway.Serve(listeners.callers) })
	group.Go(func() error { return i.peerServer.Serve(listeners.peers) })
	group.Go(func() error { return i.operators.Serve(listeners.operators) })
	i.startPollers(work, group)
	group.Go(func() error { i.housekeep(work); return nil })
	group.Go(func() error { return i.leave(ctx) })
	return group.Wait()
}

// housekeepInterval is the time between two looks at copies and finished requests.
const housekeepInterval = time.Second

// housekeep forgets finished requests whose time is over, and takes over the
// copies of peers whose session stayed broken.
func (i *Instance) housekeep(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		i.registry.Sweep(now)
		i.host.Tick(now)
		wait.For(ctx, housekeepInterval)
	}
}

// listeners are the TCP listeners of an instance.
type listeners struct {
	callers, peers, operators net.Listener
}

func (i *Instance) listen() (listeners, error) {
	var opened listeners
	for _, wanted := range []struct {
		address string
		to      *net.Listener
	}{
		{i.cfg.Listen.Callers, &opened.callers},
		{i.cfg.Listen.Peers, &opened.peers},
		{i.cfg.Listen.Operators, &opened.operators},
	} {
		listener, err := net.Listen("tcp", wanted.address)
		if err != nil {
			opened.close()
			return listeners{}, stepError("listen", wanted.address, err)
		}
		*wanted.to = listener
	}
	return opened, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Reclaim tells that the instance ends after left; 0 means that the end is not
// known. Run returns when the requests in progress are finished or handed over.
func (i *Instance) Reclaim(left time.Duration) {
	if left <= 0 {
		left = assumedNotice
	}
	end := time.Now().Add(left)
	margin := min(time.Duration(i.cfg.Shutdown.HandoverMargin), left/2)
	i.drain.begin(end.Add(-margin), end, true)
}

// Stop starts a planned stop: requests in progress may finish within the drain
// timeout, and are then handed over to a peer.
func (i *Instance) Stop() {
	release := time.Now().Add(time.Duration(i.cfg.Shutdown.DrainTimeout))
	i.drain.begin(release, release.Add(time.Duration(i.cfg.Limits.MaxDeadline)), false)
}

// Abort ends a stop at once: requests that a peer has are released, and the
// rest end with their outcome.
func (i *Instance) Abort() {
	i.Stop()
	i.home.SecondSignal(time.Now())
}

// leave waits for a stop and carries it out.
func (i *Instance) leave(ctx context.Context) error {
	defer i.drain.end()
	select {
	case <-ctx.Done():
		i.Stop()
	case <-i.drain.begun:
	case <-i.drain.alive().Done():
	}
	i.gateway.Drain()
	i.host.SelfLeaving()
	i.handOver()
	return i.shutDown()
}

// handOver returns when no request is left here, or at the end of the notice.
func (i *Instance) handOver() {
	release, end := i.drain.times()
	i.lg.Info("instance is leaving", "step", "handover", "release_at", release, "end_at", end)
	i.home.Depart(time.Now(), i.departure())
	ticker := time.NewTicker(handoverTick)
	defer ticker.Stop()
	for {
		select {
		case <-i.home.Wake():
			i.home.Poll(time.Now())
		case now := <-ticker.C:
			i.home.Depart(now, i.departure())
			i.home.Tick(now)
		}
		_, end := i.drain.times()
		if i.home.Done() || time.Now().After(end) {
			return
		}
	}
}

func (i *Instance) departure() handover.Departure {
	release, end := i.drain.times()
	return handover.Departure{ReleaseAt: release, EndAt: end, Peers: i.peersOf(i.view.Load().Fleet)}
}

// answerTimeout bounds the writing of the last answers to slow callers.
const answerTimeout = 5 * time.Second

func (i *Instance) shutDown() error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	err := i.gateway.Shutdown(ctx)
	if err != nil {
		i.lg.Warn("some answers were not read to their end", "step", "shutdown", "error", err.Error())
	}
	i.runner.Wait()
	_ = i.operators.Close(ctx)
	_ = i.peerServer.Close()
	_ = i.peers.Close()
	_ = i.beats.Close(ctx)
	i.lg.Info("instance stopped", "step", "shutdown")
	return nil
}
