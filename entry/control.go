package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/enginemodel"
	"knapweedhoist/fleetstate"
	"knapweedhoist/gossip"
	"knapweedhoist/internal/contain"
	"knapweedhoist/internal/wait"
	"knapweedhoist/teamlimit"
)

const (
	// controlInterval is the time between two iterations of the control loop, and the shortest time between two messages
	// of a type.
	controlInterval = 100 * time.Millisecond
	// sweepInterval is the time between two sweeps, which close idle connections that are no longer reusable and delete
	// the outdated state of endpoints.
	sweepInterval = time.Second
	// connectivityLifetime is how long the connectivity of one iteration of the control loop applies. After a longer pause
	// of the process, the limits count this instance as isolated.
	connectivityLifetime = 600 * time.Millisecond
	// minPause is the shortest delay of the control loop that counts as a pause of the whole process.
	minPause = 500 * time.Millisecond
)

// controlLoop runs the periodic work until ctx ends.
func (i *Instance) controlLoop(ctx context.Context) {
	var lastSweep, lastTick time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		i.handlePause(now, lastTick)
		lastTick = now
		_ = contain.Run(i.lg, "control", func() { i.control(now) })
		if now.Sub(lastSweep) >= sweepInterval {
			lastSweep = now
			i.logAggregation(now)
			_ = contain.Run(i.lg, "sweep", i.sweep)
		}
		wait.For(ctx, controlInterval)
	}
}

// control runs one iteration of the control loop.
func (i *Instance) control(now time.Time) {
	i.updateWallTime()
	i.updateOthers(now)
	i.updateQuarantine(now)
	i.sendMessages(now)
	i.updateOrigins(now)
	i.updateReach()
	i.endpointSink.tick()
}

// sweep closes idle connections and deletes the outdated state of endpoints.
func (i *Instance) sweep() {
	i.pool.Sweep(time.Now())
	i.peerPool.Sweep(time.Now())
	i.server.Sweep(time.Now())
	for _, id := range i.balancer.Sweep(time.Now(), i.state.View().Endpoints) {
		i.lg.Info("endpoint used again", "endpoint", id)
	}
	i.updatePeers()
	i.sweepRateLimits()
	i.localEndpoints.set(i.state.View().Endpoints)
}

// handlePause detects a pause of the whole process by a late iteration of the control loop. Requests that arrived during
// the pause were read late, leases may have expired, and the use of the other instances is not known; no other log line
// shows the pause.
func (i *Instance) handlePause(now, lastTick time.Time) {
	if gap := now.Sub(lastTick) - controlInterval; !lastTick.IsZero() && gap > minPause {
		i.limiter.CatchUp(now)
		i.lg.Warn("instance was paused", "ms", gap.Milliseconds(), "in_progress", i.server.InProgress())
	}
}

// updateOthers reports this instance's state to the fleet and passes the state of the others to the limiter, the retry
// budget and the balancer.
func (i *Instance) updateOthers(now time.Time) {
	slot := i.slot()
	i.fleet.SetOwn(i.ownState(now))
	others := i.fleet.Advance(now, slot)
	total := i.fleet.Total(now)
	connectivity := teamlimit.Connectivity{
		Share: others.Share, Isolated: 1 / float64(total), ValidUntil: now.Add(connectivityLifetime), Delay: others.Delay,
	}
	if !i.joined.Load() {
		connectivity.Share, connectivity.Isolated = 0, 0 // the other instances are not known yet
	}
	i.limiter.Observe(now, slot, others, connectivity)
	i.quarantine.Observe(now, others.Evidence)
	i.updateRateLimits(others.Limits)
	i.budget.SetInstances(total)
	i.balancer.SetOtherLoads(others.Endpoints, others.EndpointKnown, others.Delay)
	i.otherServices.Store(&others.Services)
	samples := make(map[string]enginemodel.Samples, len(others.Services))
	for service, load := range others.Services {
		samples[service] = load.Samples
	}
	i.learner.SetOthers(samples)
}

// logAggregation logs a change of the aggregators or of the number of instances that this one is connected to.
func (i *Instance) logAggregation(now time.Time) {
	status := i.fleet.Status(now)
	former := i.aggregation
	i.aggregation = status
	if slices.Equal(status.Aggregators, former.Aggregators) && status.IsAggregator == former.IsAggregator &&
		status.Live == former.Live && status.Total == former.Total {
		return
	}
	i.lg.Info("fleet view changed", "aggregators", status.Aggregators, "digests_from", status.Preferred,
		"aggregator", status.IsAggregator, "direct", status.Direct, "connected", status.Live, "instances", status.Total)
}

// slot returns the current slot of the counts of limits.
func (i *Instance) slot() int64 { return i.wallNow().UnixNano() / int64(fleetstate.SlotLength) }

// ownState returns the state of this instance for its reports.
func (i *Instance) ownState(now time.Time) fleetstate.State {
	state := fleetstate.State{
		Started: i.ledger.Own(i.wallNow()), Endpoints: i.balancer.OwnLoads(time.Now()), Evidence: i.quarantine.Own(now),
		Limits: i.ownRateLimits(now),
	}
	state.Used, state.Offered, state.Levels = i.limiter.Own(now)
	state.Services = i.ownServiceLoads(now)
	i.ownServices.Store(&state.Services)
	return state
}

// ownServiceLoads returns the demand for each service at this instance.
func (i *Instance) ownServiceLoads(now time.Time) map[string]fleetstate.ServiceLoad {
	loads := make(map[string]fleetstate.ServiceLoad)
	for service, rate := range i.rateEstimator.Observe(now, i.balancer.PrefillTokens()) {
		load := loads[service]
		load.Prefill = rate
		loads[service] = load
	}
	for service, average := range i.inFlight.Observe(now, i.balancer.Running()) {
		load := loads[service]
		load.InFlight = average
		loads[service] = load
	}
	for service, samples := range i.learner.Own(time.Now()) {
		load := loads[service]
		load.Samples = samples
		loads[service] = load
	}
	return loads
}

// sendMessages sends the messages that are due.
func (i *Instance) sendMessages(now time.Time) {
	if targets := i.fleet.ReportTargets(now); len(targets) > 0 && i.reportPace.due(now) {
		report := i.fleet.OwnReport(i.sender(i.reportPace, time.Now().Round(0)), i.leaving.Load())
		i.reportPace.sent(now, len(targets)*i.socket.SendReport(report, targets))
	}
	if targets := i.fleet.SummaryTargets(now, int(i.sequence)); len(targets) > 0 && i.summaryPace.due(now) {
		summary := i.fleet.OwnSummary(now, i.sender(i.summaryPace, i.wallNow()))
		summary.ClockOffsets = append(summary.ClockOffsets, time.Now().Round(0).Sub(summary.Wall))
		i.summaryPace.sent(now, len(targets)*i.socket.SendSummary(summary, targets))
	}
	if targets := i.fleet.DigestTargets(now); len(targets) > 0 && i.digestPace.due(now) {
		digest := i.fleet.OwnDigest(now, i.sender(i.digestPace, i.wallNow()), i.leaving.Load(), i.digestSlices())
		i.digestPace.sent(now, i.socket.SendDigest(digest, targets))
	}
}

// endpointsPerSlice is the number of endpoints of other data centres whose load one digest contains.
const endpointsPerSlice = 200

// digestSlices returns the number of digests over which the endpoints of other data centres are spread.
func (i *Instance) digestSlices() int {
	return 1 + len(i.state.View().Endpoints)/endpointsPerSlice
}

// sender returns the fields that all messages carry.
func (i *Instance) sender(p pace, wall time.Time) fleetstate.Sender {
	i.sequence++
	sender := fleetstate.Sender{
		Sequence: i.sequence, Interval: p.interval, Wall: wall, ConfigAge: i.state.ConfigAge(clock.Now()),
	}
	if config := i.state.View().Config; config != nil {
		sender.ConfigVersion = config.Version
	}
	return sender
}

// messageHandler returns the functions that apply the messages of other instances.
func (i *Instance) messageHandler() gossip.Handler {
	return gossip.Handler{Report: i.handleReport, Summary: i.handleSummary, Digest: i.handleDigest, Origins: i.origins.learn}
}

// ageDelayed ages the knowledge in a message by the time for which it was on its way or unread.
func (i *Instance) ageDelayed(state *fleetstate.State, sentAt time.Time) {
	delay := i.wallNow().Sub(sentAt)
	state.Limits, state.Evidence = state.Limits.Delayed(delay), state.Evidence.Delayed(delay)
}

func (i *Instance) handleReport(report fleetstate.Report) {
	now := clock.Now()
	i.ageDelayed(&report.State, report.Wall)
	if !i.fleet.ObserveReport(now, report) {
		return
	}
	i.wall.Observe(now, report.Source.Instance, report.Wall)
	i.handleReportedConfig(report.Sender)
}

func (i *Instance) handleSummary(summary fleetstate.Summary) {
	now := clock.Now()
	i.ageDelayed(&summary.State, summary.Wall)
	if !i.fleet.ObserveSummary(now, summary) {
		return
	}
	for n, offset := range summary.ClockOffsets {
		i.wall.Observe(now, summary.Source.Instance+"/"+strconv.Itoa(n), summary.Wall.Add(offset))
	}
	i.handleReportedConfig(summary.Sender)
}

func (i *Instance) handleDigest(digest fleetstate.Digest) {
	now := clock.Now()
	i.ageDelayed(&digest.State, digest.Wall)
	if !i.fleet.ObserveDigest(now, digest) {
		return
	}
	i.wall.ObserveEstimate(now, digest.Source.Instance, digest.Wall, digest.Live)
	if digest.Unlisted {
		i.unlisted.Store(true)
	}
	i.handleReportedConfig(digest.Sender)
}

// handleReportedConfig keeps the configuration current while the store does not answer this instance: a message with the
// same version confirms it, and a newer version is fetched from the sender.
func (i *Instance) handleReportedConfig(sender fleetstate.Sender) {
	i.freshPeers.observe(clock.Now(), sender)
	config := i.state.View().Config
	switch {
	case config != nil && sender.ConfigVersion == config.Version:
		i.state.ConfirmConfig(clock.Now().Add(-sender.ConfigAge))
	case config == nil || sender.ConfigVersion > config.Version:
		i.fetchNewerConfig(sender)
	}
}
