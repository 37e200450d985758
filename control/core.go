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

// Core is the control state of one entry instance. One goroutine owns it.
type Core struct {
	cfg     Config
	members *membership.Table
	shards  []*claim.Shard
	// owned tells for which shards the membership makes this instance the owner.
	owned   []bool
	keepers map[string]*lease.Keeper
	config  *configuration
	// datacentres divides the teams' limits while this instance holds the lease "quota";
	// instances divides this data centre's grants while it is the owner here.
	datacentres, instances *divider
	// granted are this data centre's grants by team.
	granted map[string]teamGrant
	seen    seen
	listed  listed

	nextBeat time.Time
	// nextPublish is when a change that is not urgent is published.
	nextPublish time.Time
	urgent      bool
	view        *View
	// departing: this instance is leaving, so it owns nothing and contends for nothing.
	departing bool
}

// DutyCapacity is the lease of the capacity planner.
const DutyCapacity = "capacity"

// DutyQuota is the lease of the division of the teams' limits over data centres.
const DutyQuota = "quota"

// New returns the control state of an instance that starts at now.
func New(cfg Config, now time.Time) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg: cfg, members: membership.NewTable(cfg.Member, cfg.Checker, cfg.Recorder, now),
		owned: make([]bool, cfg.Shards), keepers: make(map[string]*lease.Keeper), seen: newSeen(), listed: newListed(),
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
	c.config = newConfiguration(cfg)
	c.view = &View{Fleet: c.members.View(), Catalog: c.config.snapshot()}
	return c
}

// View returns the current view, for readers before the first Publish.
func (c *Core) View() *View {
	return c.view
}

// Step takes an event and returns what is to be done, in order.
func (c *Core) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case Ticked:
		effects = c.tick(now, e)
	case HeartbeatReceived:
		effects = c.heartbeat(now, e.Beat)
	case RosterRead:
		c.urgent = true
		effects = c.rosterRead(now, e.Entries)
	case RosterRelayed:
		c.rosterRelayed(now, e.Relay)
	case NoticeReceived:
		effects = c.notice(now, e.Notice)
	case LeavesReceived:
		c.urgent = true
		c.members.Leaves(now, e.Leaves)
		effects = c.selfIn(e.Leaves)
	case LoadRead:
		effects = c.load(now, e)
	case PlatformDone:
		effects = c.done(now, e)
	case ClaimAsked:
		effects = c.claimed(e.Shard, c.shards[e.Shard].Claim(now, e.Ask))
	case ClaimFinished:
		effects = c.claimed(e.Shard, c.shards[e.Shard].Finish(now, e.Finish))
	case ConfigRelayed:
		c.urgent = true
		effects = c.config.relayed(now, e.From, e.Relay)
	case ConfigAsked:
		effects = c.config.serve(e)
	case ConfigFetched:
		c.urgent = true
		effects = c.config.fetched(now, e)
	case QuotaAsked:
		effects = c.quotaAsked(now, e)
	case DemandAsked:
		effects = []Effect{DemandAnswered{Ref: e.Ref, Demands: c.demandHere()}}
	case QuotaGranted:
		c.granted = grantsOf(e)
	case EditAsked:
		effects = c.config.edit(now, e)
	}
	return append(effects, c.publish(now)...)
}

func (c *Core) tick(now time.Time, tick Ticked) []Effect {
	var effects []Effect
	if !now.Before(c.nextBeat) {
		c.nextBeat = now.Add(c.members.Interval())
		revision, age := c.config.inForce(now)
		beats := c.members.Tick(now, membership.Local{
			Revision: revision, RevisionAge: age, Stamp: tick.Stamp,
		})
		effects = sendAll(beats)
		effects = append(effects, c.assignShards(now)...)
		c.assignLeases()
	}
	for n, shard := range c.shards {
		if c.owned[n] || shard.Owned() {
			effects = append(effects, c.claimed(n, shard.Tick(now))...)
		}
	}
	for _, duty := range sortedIDs(c.keepers) {
		effects = append(effects, c.leased(duty, c.keepers[duty].Tick(now))...)
	}
	return append(effects, c.config.tick(now, c.view.Fleet)...)
}

// assignShards tells each shard whether the membership makes this instance its
// owner. Before the membership has settled nothing is taken over, so that a
// starting instance does not take shards from owners it has not heard yet.
func (c *Core) assignShards(now time.Time) []Effect {
	view := c.members.View()
	var effects []Effect
	for n, shard := range c.shards {
		owner := view.Owner(ShardKey(n))
		owned := owner != nil && owner.Incarnation == c.cfg.Member.Incarnation && view.Settled(now) && !c.departing
		if owned != c.owned[n] {
			c.owned[n] = owned
			effects = append(effects, c.claimed(n, shard.SetOwner(now, owned))...)
		}
	}
	return effects
}

// ShardKey is the key by which the owner of a claim shard is chosen.
func ShardKey(shard int) string {
	return "claim/" + strconv.Itoa(shard)
}

// leaseCandidates is how many instances contend for a duty. Two survive the
// loss of one; more would add reads of the object API.
const leaseCandidates = 2

func (c *Core) assignLeases() {
	live := c.members.View().Live()
	for duty, keeper := range c.keepers {
		candidate := false
		for _, m := range membership.Choose(live, "lease/"+duty, leaseCandidates) {
			candidate = candidate || m.Incarnation == c.cfg.Member.Incarnation
		}
		keeper.SetCandidate(candidate && !c.departing)
	}
}

func (c *Core) heartbeat(now time.Time, beat *wire.Heartbeat) []Effect {
	c.members.Heartbeat(now, beat)
	c.urgent = c.urgent || len(beat.GetLeaves()) > 0 || beat.GetLeaving()
	effects := c.selfIn(beat.GetLeaves())
	return append(effects, c.config.heard(now, beat.GetIncarnation(), beat.GetRevision())...)
}

// notice takes a leave in that this instance learnt first hand.
func (c *Core) notice(now time.Time, notice membership.Notice) []Effect {
	effects := sendAll(c.members.Notice(now, notice))
	c.urgent = true
	if len(effects) == 0 {
		return nil
	}
	effects = append(effects, SendLeaves{Notice: notice})
	if notice.Incarnation != c.cfg.Member.Incarnation {
		return effects
	}
	c.departing = true
	for _, duty := range sortedIDs(c.keepers) {
		effects = append(effects, c.leased(duty, c.keepers[duty].Release(now))...)
	}
	return append(effects, c.assignShards(now)...)
}

// selfIn looks for this instance among announced leaves.
func (c *Core) selfIn(leaves []*wire.Leave) []Effect {
	for _, leave := range leaves {
		if leave.GetIncarnation() == c.cfg.Member.Incarnation && !c.departing {
			return []Effect{SelfLeaving{Left: time.Duration(leave.GetNoticeMs()) * time.Millisecond}}
		}
	}
	return nil
}

// load takes a report in. An endpoint that reports that it is leaving is
// announced to all peers, since its report may be the first sign.
func (c *Core) load(now time.Time, read LoadRead) []Effect {
	c.members.Load(now, read.Endpoint, read.Report)
	endpoint := c.view.Fleet.Endpoint(read.Endpoint)
	if !read.Report.Leaving || endpoint == nil || endpoint.Leaving {
		return nil
	}
	return c.notice(now, membership.Notice{ID: endpoint.ID, Incarnation: endpoint.Incarnation})
}

func (c *Core) done(now time.Time, done PlatformDone) []Effect {
	switch done.Component.Kind {
	case ComponentClaim:
		return c.claimed(done.Component.Shard, c.shards[done.Component.Shard].Done(now, done.Done))
	case ComponentLease:
		return c.leased(done.Component.Duty, c.keepers[done.Component.Duty].Done(now, done.Done))
	default:
		c.urgent = true
		return c.config.done(now, done)
	}
}

func (c *Core) claimed(shard int, out claim.Output) []Effect {
	effects := calls(Component{Kind: ComponentClaim, Shard: shard}, out.Calls)
	for _, answer := range out.Answers {
		effects = append(effects, ClaimAnswered{Answer: answer})
	}
	for _, ack := range out.Acks {
		effects = append(effects, ClaimAcked{Ack: ack})
	}
	return effects
}

func (c *Core) leased(duty string, out lease.Output) []Effect {
	effects := calls(Component{Kind: ComponentLease, Duty: duty}, out.Calls)
	for _, event := range out.Events {
		effects = append(effects, LeaseChanged{Duty: duty, Event: event})
	}
	return effects
}

// Permit is the check immediately before an order of a duty.
func (c *Core) Permit(now time.Time, duty string, checksFence bool) (lease.Permit, error) {
	return c.keepers[duty].Permit(now, checksFence)
}

func calls(component Component, made []objectapi.Call) []Effect {
	effects := make([]Effect, 0, len(made))
	for _, call := range made {
		effects = append(effects, PlatformCall{Component: component, Call: call})
	}
	return effects
}

func sendAll(beats []membership.Outgoing) []Effect {
	var effects []Effect
	for _, beat := range beats {
		effects = append(effects, SendHeartbeat{Outgoing: beat})
	}
	return effects
}
