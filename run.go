package knapweedhoist

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"knapweedhoist/handover"
	"knapweedhoist/internal/listen"
	"knapweedhoist/internal/wait"
)

// handoverTick is the interval at which a handover in progress is updated.
const handoverTick = 100 * time.Millisecond

// Run serves until ctx ends, Stop is called or the instance is reclaimed, and
// then stops gracefully. It returns an error if an address cannot be bound, and
// otherwise, after the stop, the first error of a server. A process that must stop early calls Abort.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	if err := i.heartbeats.Start(ctx); err != nil {
		listeners.close()
		return stepError("listen", i.cfg.Listen.Heartbeats, err)
	}
	i.lg.Info("instance started", "incarnation", i.incarnation, "callers", i.cfg.Listen.Callers)
	lifetime := i.drain.lifetime()
	group, _ := errgroup.WithContext(lifetime)
	group.Go(func() error { i.hub.run(lifetime); return nil })
	group.Go(func() error { return i.gateway.Serve(listeners.callers) })
	group.Go(func() error { return i.peerServer.Serve(listeners.peers) })
	group.Go(func() error { return i.operators.Serve(listeners.operators) })
	i.startPollers(lifetime, group)
	group.Go(func() error { i.housekeep(lifetime); return nil })
	group.Go(func() error { return i.waitAndStop(ctx) })
	return group.Wait()
}

// housekeepInterval is the interval of the checks of handover copies and finished
// requests.
const housekeepInterval = time.Second

// housekeep deletes finished requests whose retention has expired, and takes over
// the handover copies of peers whose session stayed broken.
func (i *Instance) housekeep(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		i.registry.Sweep(now)
		i.handoverTarget.Tick(now)
		wait.For(ctx, housekeepInterval)
	}
}

// listeners holds the TCP listeners of an instance; a nil one is not open.
type listeners struct {
	callers, peers, operators net.Listener
}

func (i *Instance) listen() (listeners, error) {
	var opened listeners
	for _, binding := range []struct {
		purpose, address string
		to               *net.Listener
	}{
		{"callers", i.cfg.Listen.Callers, &opened.callers},
		{"peers", i.cfg.Listen.Peers, &opened.peers},
		{"operators", i.cfg.Listen.Operators, &opened.operators},
	} {
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			opened.close()
			return listeners{}, stepError("listen", binding.address, err)
		}
		*binding.to = listen.New(i.lg, listener, binding.purpose)
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

// Reclaim starts the stop of an instance that the cloud ends after remaining; 0
// means that the end is not known. Run returns when the requests in progress are
// finished or handed over, or after that end.
func (i *Instance) Reclaim(remaining time.Duration) {
	if remaining <= 0 {
		remaining = assumedNotice
	}
	end := time.Now().Add(remaining)
	margin := min(time.Duration(i.cfg.Shutdown.HandoverMargin), remaining/2)
	i.drain.begin(end.Add(-margin), end, true)
}

// Stop starts a planned stop. Requests in progress may finish within the drain
// timeout; the others are then handed over to a peer.
func (i *Instance) Stop() {
	release := time.Now().Add(time.Duration(i.cfg.Shutdown.DrainTimeout))
	i.drain.begin(release, release.Add(time.Duration(i.cfg.Limits.MaxDeadline)), false)
}

// Abort starts a stop and ends it at once. Repeatable requests that a peer holds a
// copy of are released to it. The others finish here with their outcome, unless
// their move to a peer has begun.
func (i *Instance) Abort() {
	i.Stop()
	i.handoverSource.SecondSignal(time.Now())
}

// waitAndStop waits for the end of ctx or the start of a stop, hands over the
// requests and closes the servers.
func (i *Instance) waitAndStop(ctx context.Context) error {
	defer i.drain.cancel()
	select {
	case <-ctx.Done():
		i.Stop()
	case <-i.drain.begun:
	case <-i.drain.lifetime().Done():
	}
	i.gateway.Drain()
	i.handoverTarget.SelfLeaving()
	i.handOver()
	return i.closeServers()
}

// handOver hands over the requests in progress and the finished ones that callers
// can still read. It returns when none is left, or when the end of the stop (endAt)
// is reached.
func (i *Instance) handOver() {
	release, end := i.drain.times()
	i.lg.Info("instance is leaving", "step", "handover", "release_at", release, "end_at", end)
	i.handoverSource.Depart(time.Now(), i.departure())
	ticker := time.NewTicker(handoverTick)
	defer ticker.Stop()
	for {
		select {
		case <-i.handoverSource.Wake():
			i.handoverSource.Poll(time.Now())
		case now := <-ticker.C:
			i.handoverSource.Depart(now, i.departure())
			i.handoverSource.Tick(now)
		}
		_, end := i.drain.times()
		if i.handoverSource.Done() || time.Now().After(end) {
			return
		}
	}
}

func (i *Instance) departure() handover.Departure {
	release, end := i.drain.times()
	return handover.Departure{ReleaseAt: release, EndAt: end, Peers: i.peersOf(i.view.Load().Fleet)}
}

// answerTimeout limits how long the last answers are written to slow callers.
const answerTimeout = 5 * time.Second

func (i *Instance) closeServers() error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	err := i.gateway.Shutdown(ctx)
	if err != nil {
		i.lg.Warn("gateway closed before callers had read all answers", "step", "shutdown", "error", err.Error())
	}
	i.runner.Wait()
	_ = i.operators.Close(ctx)
	_ = i.peerServer.Close()
	_ = i.peers.Close()
	_ = i.heartbeats.Close(ctx)
	i.lg.Info("instance stopped", "step", "shutdown")
	return nil
}
