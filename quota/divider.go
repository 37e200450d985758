package quota

import (
	"math"
	"sort"
	"time"
)

// Divider divides one limit over members (data centres, or the instances of a
// data centre) by grants that expire. At any time, the rates that members can
// be using — for each the largest grant that has not expired or been replaced,
// or its floor — add up to at most the limit, whatever messages are lost.
//
// State: 64 bytes for each member and unexpired grant, at most maxGrants each.
// It is owned by one goroutine, on the holder of the lease "quota" for data
// centres and on the chosen owner inside each data centre for instances. A new
// owner must wait one TTL before its first grant (see Resume).
type Divider struct {
	cfg      Config
	holdings map[string]*holding
	fence    uint64
	sequence uint64
	// notBefore is when grants of a former owner have expired.
	notBefore time.Time
}

// NewDivider returns a Divider without grants.
func NewDivider(cfg Config) *Divider {
	return &Divider{cfg: cfg, holdings: make(map[string]*holding)}
}

// Resume is called by a new owner with its fence: until the former owner's grants have expired, only floors are granted.
func (d *Divider) Resume(now time.Time, fence uint64) {
	d.notBefore = now.Add(d.cfg.TTL)
	d.fence = fence
}

// Ack records that the member uses the grant with this sequence number, so that older ones no longer count.
func (d *Divider) Ack(member string, sequence uint64) {
	if h := d.holdings[member]; h != nil {
		h.ack(sequence)
	}
}

// Divide grants parts of the limit. All members must be listed, cut-off ones too.
func (d *Divider) Divide(now time.Time, limit Limit, demands []Demand) []Grant {
	demands = append([]Demand(nil), demands...)
	sort.Slice(demands, func(i, j int) bool { return demands[i].Member < demands[j].Member })
	d.expire(now)
	floor := d.cfg.Floor(limit.FloorRate)
	targets := d.targets(limit.Rate, floor, demands)
	room := 0.0
	if !now.Before(d.notBefore) {
		room = max(0, limit.Rate-d.used(floor, demands))
	}
	grants := make([]Grant, 0, len(demands))
	for i, demand := range demands {
		held := d.held(demand.Member, floor)
		rate := min(targets[i], held+room)
		room -= max(0, rate-held)
		grants = append(grants, d.grant(now, demand.Member, rate, floor, limit.Until))
	}
	return grants
}

// idleShare is the part of its floor that a reachable member without demand keeps; it lends the rest.
const idleShare = 0.2

// Fits reports whether what the members can be using fits into a limit. A data centre's owner acknowledges its own grant
// only then, because grants that it gave under a larger one can still be in use.
func (d *Divider) Fits(now time.Time, limit Limit, demands []Demand) bool {
	d.expire(now)
	return d.used(d.cfg.Floor(limit.FloorRate), demands) <= limit.Rate*(1+roundingShare)
}

// targets are the shares that the members should have; they add up to the limit.
func (d *Divider) targets(rate, floor float64, demands []Demand) []float64 {
	claims := make([]Claim, len(demands))
	for i, demand := range demands {
		// An idle member gets a little, so that its first requests need not wait for a grant.
		claims[i] = Claim{Weight: 1, Demand: math.Max(demand.Rate, idleShare*floor)}
	}
	shares := FairShares(rate, claims)
	left := rate
	for _, s := range shares {
		left -= s
	}
	for i := range shares {
		shares[i] += max(0, left) / float64(len(shares))
	}
	return shares
}

// used is the most that all members can be using.
func (d *Divider) used(floor float64, demands []Demand) float64 {
	listed := make(map[string]bool, len(demands))
	used := 0.0
	for _, demand := range demands {
		listed[demand.Member] = true
		used += d.held(demand.Member, floor)
	}
	for _, member := range d.unlisted(listed) {
		used += d.held(member, floor)
	}
	// Members that are configured but not listed keep their floor.
	return used + float64(max(0, d.cfg.FloorMembers-len(demands)))*floor
}

// unlisted are members that left and still hold grants.
func (d *Divider) unlisted(listed map[string]bool) []string {
	var names []string
	for member := range d.holdings {
		if !listed[member] {
			names = append(names, member)
		}
	}
	sort.Strings(names)
	return names
}

// held is the most that the member can be using. A member that has acknowledged a grant keeps to it until it expires,
// also when it is below the floor; the rest of the floor is lent.
func (d *Divider) held(member string, floor float64) float64 {
	h := d.holdings[member]
	if h == nil {
		return floor
	}
	return h.most(floor)
}

func (d *Divider) expire(now time.Time) {
	for member, h := range d.holdings {
		h.expire(now)
		if len(h.grants) == 0 {
			delete(d.holdings, member)
		}
	}
}

func (d *Divider) grant(now time.Time, member string, rate, floor float64, until time.Time) Grant {
	h := d.holdings[member]
	if h == nil {
		h = &holding{}
		d.holdings[member] = h
	}
	if h.full() {
		return h.grants[len(h.grants)-1]
	}
	expiry := now.Add(d.cfg.TTL)
	if !until.IsZero() && until.Before(expiry) {
		expiry = until
	}
	if rate > floor {
		expiry = d.beforeReturn(expiry, floor)
	}
	d.sequence++
	g := Grant{Member: member, Fence: d.fence, Sequence: d.sequence, Rate: rate, Floor: floor, Until: expiry}
	h.grants = append(h.grants, g)
	return g
}

// beforeReturn ends a grant before any lender can return to its floor: a lender that is cut off does so when its
// acknowledged grant expires.
func (d *Divider) beforeReturn(expiry time.Time, floor float64) time.Time {
	for _, h := range d.holdings {
		if at, lends := h.returns(floor); lends && at.Before(expiry) {
			expiry = at
		}
	}
	return expiry
}
