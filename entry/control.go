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
	// reportInterval is the period of reports in a small deployment.
	reportInterval = 100 * time.Millisecond
	// reportCost is added to the period for each other instance, so that the datagrams of an instance stay
	// below 100 a second however many there are.
	reportCost = 10 * time.Millisecond
	// sweepInterval is the period in which idle connections and old state are dropped.
	sweepInterval = time.Second
)

// control runs the periodic work until the end of ctx.
func (i *Instance) control(ctx context.Context) {
	var swept, ticked time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		i.noticePause(now, ticked)
		ticked = now
		members := i.directory.Members()
		i.sendReport(now, members)
		i.spread()
		i.endpoints.expire()
		if now.Sub(swept) >= sweepInterval {
			swept = now
			i.pool.Sweep(time.Now())
			i.table.Sweep(time.Now(), i.state.View().Endpoints)
		}
		wait.For(ctx, interval(len(members)))
	}
}

// pauseTime is the time without a step of the control goroutine that is logged as a pause of the whole process: five
// steps of a small deployment.
const pauseTime = 500 * time.Millisecond

// noticePause logs that the process did not run for a while, which shows up nowhere else: requests that arrived
// meanwhile were read late, and leases may have run out.
func (i *Instance) noticePause(now, ticked time.Time) {
	if gap := now.Sub(ticked) - interval(i.directory.Count()); !ticked.IsZero() && gap > pauseTime {
		i.lg.Warn("instance was paused", "ms", gap.Milliseconds(), "in_progress", i.front.InProgress())
	}
}

func interval(members int) time.Duration {
	return max(reportInterval, time.Duration(members)*reportCost)
}

// silence is the time after which an instance counts as not heard.
func (i *Instance) silence() time.Duration {
	return max(teamlimit.DefaultSilence, 4*interval(i.directory.Count()))
}

func (i *Instance) sendReport(now time.Time, members []gossip.Member) {
	i.sequence++
	report := gossip.Report{
		Source: i.source, Address: i.settings.Listen.Peers, DataCentre: i.settings.DataCentre,
		Sequence: i.sequence, Wall: time.Now().Round(0), Leaving: i.leaving.Load(),
		ConfigAge: i.state.ConfirmedFor(clock.Now()),
		Uses:      i.limiter.Local(now), Works: i.table.Local(), Windows: i.ledger.Local(i.wallNow()),
		ReadRates: i.gauge.Observe(now, i.table.Read()),
	}
	if config := i.state.View().Config; config != nil {
		report.ConfigVersion = config.Version
	}
	i.meter.Observe(now, report.Source.Instance, report.ReadRates)
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	i.socket.Send(report, addresses)
}

// spread gives what is known of the other instances to the parts that divide something among them.
func (i *Instance) spread() {
	now := clock.Now()
	members := i.directory.Members() // read here: an older list would give this instance the shares of new ones
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	i.limiter.SetMembers(names)
	i.budget.SetInstances(len(names) + 1)
	i.table.SetPeers(i.directory.Work(now, i.silence()))
}

// observe takes in another instance's report.
func (i *Instance) observe(report gossip.Report) {
	now := clock.Now()
	if !i.directory.Observe(now, report) {
		return
	}
	i.limiter.Observe(now, report.Source.Instance, report.Source.Boot, report.Uses)
	i.wall.Observe(now, report.Source.Instance, report.Wall)
	i.ledger.Observe(report.Source, report.Windows)
	i.meter.Observe(now, report.Source.Instance, report.ReadRates)
	i.observeConfig(report)
}

// observeConfig uses another instance's knowledge of the configuration where the store does not answer this one.
func (i *Instance) observeConfig(report gossip.Report) {
	config := i.state.View().Config
	switch {
	case config != nil && report.ConfigVersion == config.Version:
		i.state.Confirm(clock.Now().Add(-report.ConfigAge))
	case config == nil || report.ConfigVersion > config.Version:
		i.relay(report)
	}
}
