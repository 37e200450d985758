package control

import (
	"strconv"
	"time"

	"knapweedhoist/claim"
	"knapweedhoist/lease"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

// Core is the control state of one entry instance. It is not safe for concurrent
// use: one goroutine owns it.
type Core struct {
	cfg     Config
	members *membership.Table
	shards  []*claim.Shard
	// owned[n] reports whether the membership makes this instance the owner of shard n.
	owned []bool
	// keepers holds the lease keeper of each duty.
	keepers       map[string]*lease.Keeper
	configuration *configuration
	// datacentrePlanner divides the teams' limits among the data centres while this instance holds the lease "quota".
	// instancePlanner divides this data centre's grants among its instances while this instance is their owner.
	// plannerFor creates and drops both.
	datacentrePlanner, instancePlanner *quotaPlanner
	// datacentreGrants holds the last received grants of this data centre, by team; nil before the first reply.
	datacentreGrants map[string]grantPair
	changes          changeDetector
	roster           roster

	nextHeartbeatAt time.Time
	// nextPublishAt is the earliest time at which a change that can wait is published.
	nextPublishAt time.Time
	// publishNow reports whether a change must be published without waiting for nextPublishAt.
	publishNow bool
	view       *View
	// leaving reports whether a notice that this instance is leaving was processed. The instance then owns no shard and
	// contends for no lease.
	leaving bool
}

// DutyCapacity is the duty whose holder plans the capacity of endpoints.
const DutyCapacity = "capacity"

// DutyQuota is the duty whose holder divides the teams' limits among the data centres.
const DutyQuota = "quota"

// New returns the Core of an instance that starts at now.
func New(cfg Config, now time.Time) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg: cfg, members: membership.NewTable(cfg.Member, cfg.Checker, cfg.Recorder, now),
		owned: make([]bool, cfg.Shards), keepers: make(map[string]*lease.Keeper), changes: newChangeDetector(),
		roster: newRoster(),
	}
	for n := range cfg.Shards {
		c.shards = append(c.shards, claim.NewShard(cfg.Logger, claim.Config{
			Shard: n, Incarnation: cfg.Member.Incarnation, Rand: cfg.Rand, Recorder: cfg.Recorder, Checker: cfg.Checker,
		}))
	}
	for _, duty := range []string{DutyCapacity, DutyQuota} {
		c.keepers[duty] = lease.NewKeeper(cfg.Logger, lease.Config{
			Duty: duty, Holder: cfg.Member.ID, Incarnation: cfg.Member.Incarnation,
			Recorder: cfg.Recorder, Checker: cfg.Checker,
		})
	}
	c.configuration = newConfiguration(cfg)
	c.view = &View{Fleet: c.members.View(), Catalog: c.configuration.snapshot()}
	return c
}

// View returns the current view. Readers use it until the first Publish.
func (c *Core) View() *View {
	return c.view
}

// Step processes an event and returns the effects, which the caller must carry out in order.
func (c *Core) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case Ticked:
		effects = c.tick(now, e)
	case HeartbeatReceived:
		effects = c.handleHeartbeat(now, e.Heartbeat)
	case RosterRead:
		c.publishNow = true
		effects = c.handleRosterRead(now, e.Entries)
	case RosterRelayed:
		c.handleRosterRelay(now, e.Relay)
	case NoticeReceived:
		effects = c.handleNotice(now, e.Notice)
	case LeavesReceived:
		c.publishNow = true
		c.members.ApplyLeaves(now, e.Leaves)
		effects = c.selfLeavingEffects(e.Leaves)
	case LoadRead:
		effects = c.handleLoad(now, e)
	case PlatformDone:
		effects = c.handlePlatformDone(now, e)
	case ClaimRequested:
		effects = c.claimEffects(e.Shard, c.shards[e.Shard].Claim(now, e.Request))
	case ClaimFinished:
		effects = c.claimEffects(e.Shard, c.shards[e.Shard].Finish(now, e.Finish))
	case ConfigRelayed:
		c.publishNow = true
		effects = c.configuration.handleRelay(now, e.From, e.Relay)
	case ConfigRequested:
		effects = c.configuration.answerFetch(e)
	case ConfigFetched:
		c.publishNow = true
		effects = c.configuration.handleFetched(now, e)
	case QuotaRequested:
		effects = c.answerQuotaRequest(now, e)
	case DemandRequested:
		effects = []Effect{DemandAnswered{Ref: e.Ref, Demands: c.datacentreDemands()}}
	case QuotaGranted:
		c.datacentreGrants = grantsFromReply(e)
	case EditRequested:
		effects = c.configuration.submitEdit(now, e)
	}
	return append(effects, c.publish(now)...)
}

// tick runs all work that is due: heartbeats, shards, leases and configuration.
func (c *Core) tick(now time.Time, tick Ticked) []Effect {
	var effects []Effect
	if !now.Before(c.nextHeartbeatAt) {
		c.nextHeartbeatAt = now.Add(c.members.Interval())
		revision, age := c.configuration.inForce(now)
		beats := c.members.Tick(now, membership.LocalState{
			Revision: revision, RevisionAge: age, Stamp: tick.Stamp,
		})
		effects = sendHeartbeats(beats)
		effects = append(effects, c.assignShards(now)...)
		c.assignLeases()
	}
	for n, shard := range c.shards {
		if c.owned[n] || shard.Owned() {
			effects = append(effects, c.claimEffects(n, shard.Tick(now))...)
		}
	}
	for _, duty := range sortedKeys(c.keepers) {
		effects = append(effects, c.leaseEffects(duty, c.keepers[duty].Tick(now))...)
	}
	return append(effects, c.configuration.tick(now, c.view.Fleet)...)
}

// assignShards updates which shards this instance owns. It owns none before the
// discovery period has passed, so that a starting instance does not take over shards
// from owners whose heartbeats it has not received yet.
func (c *Core) assignShards(now time.Time) []Effect {
	view := c.members.View()
	var effects []Effect
	for n, shard := range c.shards {
		owner := view.Owner(ShardKey(n))
		owned := owner != nil && owner.Incarnation == c.cfg.Member.Incarnation && view.DiscoveryPeriodPassed(now) && !c.leaving
		if owned != c.owned[n] {
			c.owned[n] = owned
			effects = append(effects, c.claimEffects(n, shard.SetOwner(now, owned))...)
		}
	}
	return effects
}

// ShardKey returns the rendezvous hashing key that selects the owner of a claim shard.
func ShardKey(shard int) string {
	return "claim/" + strconv.Itoa(shard)
}

// leaseCandidates is the number of instances that contend for the lease of a
// duty. Two tolerate the loss of one; more would add reads of the object API.
const leaseCandidates = 2

// assignLeases updates for which leases this instance contends.
func (c *Core) assignLeases() {
	live := c.members.View().Live()
	for duty, keeper := range c.keepers {
		candidate := false
		for _, m := range membership.Choose(live, "lease/"+duty, leaseCandidates) {
			candidate = candidate || m.Incarnation == c.cfg.Member.Incarnation
		}
		keeper.SetCandidate(candidate && !c.leaving)
	}
}

// handleHeartbeat processes a peer's heartbeat: its state, the leaves that it
// announces, and its configuration revision.
func (c *Core) handleHeartbeat(now time.Time, beat *wire.Heartbeat) []Effect {
	c.members.ApplyHeartbeat(now, beat)
	c.publishNow = c.publishNow || len(beat.GetLeaves()) > 0 || beat.GetLeaving()
	effects := c.selfLeavingEffects(beat.GetLeaves())
	return append(effects, c.configuration.handleHeartbeat(now, beat.GetIncarnation(), beat.GetRevision())...)
}

// handleNotice processes a notice that an instance or endpoint is leaving, and
// announces it to the peers, unless the leave was known and the notice has no new
// successor. If the announced leave is that of this instance, the instance then
// releases its leases and gives up its shards.
func (c *Core) handleNotice(now time.Time, notice membership.Notice) []Effect {
	effects := sendHeartbeats(c.members.ApplyNotice(now, notice))
	c.publishNow = true
	if len(effects) == 0 {
		return nil
	}
	effects = append(effects, SendLeaves{Notice: notice})
	if notice.Incarnation != c.cfg.Member.Incarnation {
		return effects
	}
	c.leaving = true
	for _, duty := range sortedKeys(c.keepers) {
		effects = append(effects, c.leaseEffects(duty, c.keepers[duty].Release(now))...)
	}
	return append(effects, c.assignShards(now)...)
}

// selfLeavingEffects returns a SelfLeaving if a peer announced that this instance
// is leaving and no notice of it was processed yet.
func (c *Core) selfLeavingEffects(leaves []*wire.Leave) []Effect {
	for _, leave := range leaves {
		if leave.GetIncarnation() == c.cfg.Member.Incarnation && !c.leaving {
			return []Effect{SelfLeaving{Remaining: time.Duration(leave.GetNoticeMs()) * time.Millisecond}}
		}
	}
	return nil
}

// handleLoad processes a load report. If the endpoint reports that it is leaving,
// this is announced to all peers, because the report can arrive before any other
// notice.
func (c *Core) handleLoad(now time.Time, read LoadRead) []Effect {
	c.members.StoreLoad(now, read.Endpoint, read.Report)
	endpoint := c.view.Fleet.Endpoint(read.Endpoint)
	if !read.Report.Leaving || endpoint == nil || endpoint.Leaving {
		return nil
	}
	return c.handleNotice(now, membership.Notice{ID: endpoint.ID, Incarnation: endpoint.Incarnation})
}

// handlePlatformDone passes the result of a platform call to the component that made it.
func (c *Core) handlePlatformDone(now time.Time, done PlatformDone) []Effect {
	effects := c.observeEra(now, done)
	switch done.Component.Kind {
	case ComponentClaim:
		return append(effects, c.claimEffects(done.Component.Shard, c.shards[done.Component.Shard].Done(now, done.Done))...)
	case ComponentLease:
		return append(effects, c.leaseEffects(done.Component.Duty, c.keepers[done.Component.Duty].Done(now, done.Done))...)
	default:
		c.publishNow = true
		return append(effects, c.configuration.handlePlatformDone(now, done)...)
	}
}

// observeEra tells the lease keepers the era of the store that an answer names.
func (c *Core) observeEra(now time.Time, done PlatformDone) []Effect {
	var effects []Effect
	for _, duty := range []string{DutyCapacity, DutyQuota} {
		effects = append(effects, c.leaseEffects(duty, c.keepers[duty].ObserveEra(now, done.Done.Reply.Era))...)
	}
	return effects
}

// claimEffects converts an output of a shard.
func (c *Core) claimEffects(shard int, out claim.Output) []Effect {
	effects := platformCalls(Component{Kind: ComponentClaim, Shard: shard}, out.Calls)
	for _, answer := range out.Answers {
		effects = append(effects, ClaimAnswered{Answer: answer})
	}
	for _, ack := range out.Acks {
		effects = append(effects, ClaimAcked{Ack: ack})
	}
	return effects
}

// leaseEffects converts an output of a lease keeper.
func (c *Core) leaseEffects(duty string, out lease.Output) []Effect {
	effects := platformCalls(Component{Kind: ComponentLease, Duty: duty}, out.Calls)
	for _, event := range out.Events {
		effects = append(effects, LeaseChanged{Duty: duty, Event: event})
	}
	return effects
}

// Permit must be called immediately before each order of a duty; it is lease.Keeper.Permit of the duty's keeper.
func (c *Core) Permit(now time.Time, duty string, checksFence bool) (lease.Permit, error) {
	return c.keepers[duty].Permit(now, checksFence)
}

func platformCalls(component Component, calls []objectapi.Call) []Effect {
	effects := make([]Effect, 0, len(calls))
	for _, call := range calls {
		effects = append(effects, PlatformCall{Component: component, Call: call})
	}
	return effects
}

func sendHeartbeats(beats []membership.Outgoing) []Effect {
	var effects []Effect
	for _, beat := range beats {
		effects = append(effects, SendHeartbeat{Outgoing: beat})
	}
	return effects
}
