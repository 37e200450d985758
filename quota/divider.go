package quota

import (
	"math"
	"sort"
	"time"
)

// Divider divides one limit among members (data centres, or the instances of a
// data centre) by grants that expire. Invariant: the rates that the members can
// be using add up to at most the limit, whichever messages are lost. After a
// decrease of the limit this holds once the larger grants have expired or been
// replaced (see Fits). The rate that a member can be using is its largest grant
// that has neither expired nor been replaced, or its floor.
//
// State: 72 bytes for each unexpired grant, at most maxUnexpiredGrants for each
// member. A Divider is owned by one goroutine: on the holder of the lease "quota"
// for data centres, and on the owner in each data centre for its instances. A new
// owner must wait one TTL before it grants more than floors (see TakeOver).
type Divider struct {
	cfg      Config
	members  map[string]*memberGrants
	fence    uint64
	sequence uint64
	// floorsOnlyUntil is when all grants of the former owner have expired. Until then no grant is above the floor.
	floorsOnlyUntil time.Time
}

// NewDivider returns a Divider without grants.
func NewDivider(cfg Config) *Divider {
	return &Divider{cfg: cfg, members: make(map[string]*memberGrants)}
}

// TakeOver must be called by a new owner that succeeds another one, with its own fencing token. No grant is above the
// floor until one TTL after now, when the former owner's grants have expired.
func (d *Divider) TakeOver(now time.Time, fence uint64) {
	d.floorsOnlyUntil = now.Add(d.cfg.TTL)
	d.fence = fence
}

// Ack records that the member uses the grant with this sequence number, so that its older grants no longer count.
func (d *Divider) Ack(member string, sequence uint64) {
	if m := d.members[member]; m != nil {
		m.acknowledge(sequence)
	}
}

// Divide returns one grant for each member, ordered by member name. demands must list all members, also those that are
// unreachable.
func (d *Divider) Divide(now time.Time, limit Limit, demands []Demand) []Grant {
	demands = append([]Demand(nil), demands...)
	sort.Slice(demands, func(i, j int) bool { return demands[i].Member < demands[j].Member })
	d.expire(now)
	floor := d.cfg.Floor(limit.FloorRate)
	targetRates := d.targetRates(limit.Rate, floor, demands)
	available := 0.0
	if !now.Before(d.floorsOnlyUntil) {
		available = max(0, limit.Rate-d.maxTotalRate(floor, demands))
	}
	grants := make([]Grant, 0, len(demands))
	for i, demand := range demands {
		current := d.maxRate(demand.Member, floor)
		rate := min(targetRates[i], current+available)
		available -= max(0, rate-current)
		grants = append(grants, d.issue(now, demand.Member, rate, floor, limit.GrantsUntil))
	}
	return grants
}

// idleShare is the fraction of its floor that a reachable member without demand keeps; the rest is lent to others.
const idleShare = 0.2

// Fits reports whether the rates that the members can be using add up to at most the limit. A data centre's owner must
// not acknowledge the data centre's grant before Fits returns true, because grants that it issued under an earlier,
// larger one can still be in use.
func (d *Divider) Fits(now time.Time, limit Limit, demands []Demand) bool {
	d.expire(now)
	return d.maxTotalRate(d.cfg.Floor(limit.FloorRate), demands) <= limit.Rate*(1+roundingTolerance)
}

// targetRates returns the rate that each member should have, in the order of demands. They add up to rate.
func (d *Divider) targetRates(rate, floor float64, demands []Demand) []float64 {
	claimants := make([]Claimant, len(demands))
	for i, demand := range demands {
		// An idle member keeps a small share, so that its first requests need not wait for a grant.
		claimants[i] = Claimant{Weight: 1, Demand: math.Max(demand.Rate, idleShare*floor)}
	}
	shares := FairShares(rate, claimants)
	unassigned := rate
	for _, s := range shares {
		unassigned -= s
	}
	for i := range shares {
		shares[i] += max(0, unassigned) / float64(len(shares))
	}
	return shares
}

// maxTotalRate returns the highest rate that all members together can be using.
func (d *Divider) maxTotalRate(floor float64, demands []Demand) float64 {
	listed := make(map[string]bool, len(demands))
	total := 0.0
	for _, demand := range demands {
		listed[demand.Member] = true
		total += d.maxRate(demand.Member, floor)
	}
	for _, member := range d.unlisted(listed) {
		total += d.maxRate(member, floor)
	}
	// Members that FloorMembers includes but demands does not list may use their floor.
	return total + float64(max(0, d.cfg.FloorMembers-len(demands)))*floor
}

// unlisted returns the names of the members that left and still have unexpired grants, sorted.
func (d *Divider) unlisted(listed map[string]bool) []string {
	var names []string
	for member := range d.members {
		if !listed[member] {
			names = append(names, member)
		}
	}
	sort.Strings(names)
	return names
}

// maxRate returns the highest rate that the member can be using. A member that has acknowledged a grant uses
// that grant or a later one until the acknowledged one expires, even if its rate is below the floor; the rest of the
// floor is lent.
func (d *Divider) maxRate(member string, floor float64) float64 {
	m := d.members[member]
	if m == nil {
		return floor
	}
	return m.maxRate(floor)
}

// expire drops the expired grants of all members.
func (d *Divider) expire(now time.Time) {
	for member, m := range d.members {
		m.expire(now)
		if len(m.unexpired) == 0 {
			delete(d.members, member)
		}
	}
}

// issue returns a new grant for the member, or its last one while no more can be stored. The grant expires after the
// TTL or at until (if it is not the zero time), whichever is first. A grant above the floor also expires by
// the time at which a lending member can return to its floor.
func (d *Divider) issue(now time.Time, member string, rate, floor float64, until time.Time) Grant {
	m := d.members[member]
	if m == nil {
		m = &memberGrants{}
		d.members[member] = m
	}
	if m.full() {
		return m.unexpired[len(m.unexpired)-1]
	}
	expiry := now.Add(d.cfg.TTL)
	if !until.IsZero() && until.Before(expiry) {
		expiry = until
	}
	if rate > floor {
		expiry = d.endBeforeLenderReturns(expiry, floor)
	}
	d.sequence++
	g := Grant{Member: member, Fence: d.fence, Sequence: d.sequence, Rate: rate, Floor: floor, Until: expiry}
	m.unexpired = append(m.unexpired, g)
	return g
}

// endBeforeLenderReturns returns expiry or, if it is earlier, the first time at which a lending member can return to
// its floor. A lender that becomes unreachable does so when its acknowledged grant expires.
func (d *Divider) endBeforeLenderReturns(expiry time.Time, floor float64) time.Time {
	for _, m := range d.members {
		if returnsAt, lending := m.belowFloorUntil(floor); lending && returnsAt.Before(expiry) {
			expiry = returnsAt
		}
	}
	return expiry
}
