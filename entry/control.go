package entry

import (
	"context"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/gossip"
	"knapweedhoist/internal/wait"
	"knapweedhoist/teamlimit"
)

const (
	// reportInterval is the time between two reports in a small deployment.
	reportInterval = 100 * time.Millisecond
	// reportIntervalPerPeer is the shortest interval per other instance. It limits the datagrams that an instance sends
	// to 100 a second, however many instances there are.
	reportIntervalPerPeer = 10 * time.Millisecond
	// sweepInterval is the time between two sweeps, which close idle connections that are no longer reusable and delete
	// the outdated state of endpoints.
	sweepInterval = time.Second
)

// controlLoop runs the periodic work until ctx ends.
func (i *Instance) controlLoop(ctx context.Context) {
	var lastSweep, lastTick time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		i.logPause(now, lastTick)
		lastTick = now
		members := i.directory.Members()
		i.sendReport(now, members)
		i.updateMembers()
		i.endpointSink.expire()
		if now.Sub(lastSweep) >= sweepInterval {
			lastSweep = now
			i.pool.Sweep(time.Now())
			i.balancer.Sweep(time.Now(), i.state.View().Endpoints)
		}
		wait.For(ctx, reportIntervalFor(len(members)))
	}
}

// minPause is the shortest delay of the control loop that is logged as a pause of the whole process: five report
// intervals of a small deployment.
const minPause = 500 * time.Millisecond

// logPause logs a pause of the whole process, which it detects by a late iteration of the control loop. Requests that
// arrived during the pause were read late, and leases may have expired; no other log line shows the pause.
func (i *Instance) logPause(now, lastTick time.Time) {
	if gap := now.Sub(lastTick) - reportIntervalFor(i.directory.Count()); !lastTick.IsZero() && gap > minPause {
		i.lg.Warn("instance was paused", "ms", gap.Milliseconds(), "in_progress", i.server.InProgress())
	}
}

// reportIntervalFor returns the time between two reports, given the number of other instances.
func reportIntervalFor(peers int) time.Duration {
	return max(reportInterval, time.Duration(peers)*reportIntervalPerPeer)
}

// reportTimeout returns the age of another instance's newest report above which the work in the report is ignored and
// the instance is left out of the relays and the ranks.
func (i *Instance) reportTimeout() time.Duration {
	return max(teamlimit.DefaultPeerTimeout, 4*reportIntervalFor(i.directory.Count()))
}

// sendReport sends this instance's report to all members.
func (i *Instance) sendReport(now time.Time, members []gossip.Member) {
	i.reportSequence++
	report := gossip.Report{
		Source: i.source, Address: i.settings.Listen.Peers, DataCentre: i.settings.DataCentre,
		Sequence: i.reportSequence, Wall: time.Now().Round(0), Leaving: i.leaving.Load(),
		ConfigAge: i.state.ConfigAge(clock.Now()),
		Uses:      i.limiter.LocalUse(now), Work: i.balancer.LocalWork(), Windows: i.ledger.LocalCounts(i.wallNow()),
		PrefillRates: i.rateEstimator.Observe(now, i.balancer.PrefillTokens()),
	}
	if config := i.state.View().Config; config != nil {
		report.ConfigVersion = config.Version
	}
	i.meter.Observe(now, report.Source.Instance, report.PrefillRates)
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	i.socket.Send(report, addresses)
}

// updateMembers passes the names of the other instances to the limiter and the number of all instances to the retry
// budget, which divide their bounds among all instances, and the work of the other instances to the balancer.
func (i *Instance) updateMembers() {
	now := clock.Now()
	members := i.directory.Members() // not passed in: with an older list this instance would use the shares of new ones
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	i.limiter.SetMembers(names)
	i.budget.SetInstances(len(names) + 1)
	i.balancer.SetPeerWork(i.directory.Work(now, i.reportTimeout()))
}

// handleReport applies another instance's report, unless one of the same process start that is at least as new was
// received before.
func (i *Instance) handleReport(report gossip.Report) {
	now := clock.Now()
	if !i.directory.Observe(now, report) {
		return
	}
	i.limiter.Observe(now, report.Source.Instance, report.Source.Boot, report.Uses)
	i.wall.Observe(now, report.Source.Instance, report.Wall)
	i.ledger.Merge(report.Source, report.Windows)
	i.meter.Observe(now, report.Source.Instance, report.PrefillRates)
	i.handleReportedConfig(report)
}

// handleReportedConfig keeps the configuration current while the store does not answer this instance: a report with the
// same version confirms it, and a newer version is fetched from the sender.
func (i *Instance) handleReportedConfig(report gossip.Report) {
	config := i.state.View().Config
	switch {
	case config != nil && report.ConfigVersion == config.Version:
		i.state.ConfirmConfig(clock.Now().Add(-report.ConfigAge))
	case config == nil || report.ConfigVersion > config.Version:
		i.fetchNewerConfig(report)
	}
}
