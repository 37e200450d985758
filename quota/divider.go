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
// State: 40 bytes for each member and unexpired grant, at most maxGrants each.
// It is owned by one goroutine, on the holder of the lease "quota" for data
// centres and on the chosen owner inside each data centre for instances. A new
// owner must wait one TTL before its first grant (see Resume).
type Divider struct {
	cfg      Config
	holdings map[string][]Grant
	sequence uint64
	// notBefore is when grants of a former owner have expired.
	notBefore time.Time
}

// maxGrants bounds the unexpired grants remembered for a member: one a second for the default TTL.
const maxGrants = 12

// NewDivider returns a Divider without grants.
func NewDivider(cfg Config) *Divider {
	return &Divider{cfg: cfg, holdings: make(map[string][]Grant)}
}

// Resume is called by a new owner: until the former owner's grants have expired, only floors are granted.
func (d *Divider) Resume(now time.Time) { d.notBefore = now.Add(d.cfg.TTL) }

// Ack records that the member uses the grant with this sequence number, so that older ones no longer count.
func (d *Divider) Ack(member string, sequence uint64) {
	list := d.holdings[member]
	for i, g := range list {
		if g.Sequence == sequence {
			d.holdings[member] = list[i:]
			return
		}
	}
}

// Divide grants parts of the limit until at most the given time. All members must be listed, cut-off ones too.
func (d *Divider) Divide(now time.Time, limit float64, until time.Time, demands []Demand) []Grant {
	demands = append([]Demand(nil), demands...)
	sort.Slice(demands, func(i, j int) bool { return demands[i].Member < demands[j].Member })
	d.expire(now)
	targets := d.targets(limit, demands)
	room := d.room(now, limit, demands)
	grants := make([]Grant, 0, len(demands))
	for i, demand := range demands {
		held := d.held(demand.Member, limit)
		rate := min(targets[i], held+room)
		room -= max(0, rate-held)
		grants = append(grants, d.grant(now, demand.Member, rate, limit, until))
	}
	return grants
}

// targets are the shares that the members should have; they add up to the limit.
func (d *Divider) targets(limit float64, demands []Demand) []float64 {
	claims := make([]Claim, len(demands))
	for i, demand := range demands {
		claims[i] = Claim{Weight: 1, Demand: demand.Rate, Floor: d.cfg.Floor(limit)}
	}
	shares := FairShares(limit, claims)
	left := limit
	for _, s := range shares {
		left -= s
	}
	for i := range shares {
		shares[i] += max(0, left) / float64(len(shares))
	}
	return shares
}

// room is what is not held by anyone.
func (d *Divider) room(now time.Time, limit float64, demands []Demand) float64 {
	if now.Before(d.notBefore) {
		return 0
	}
	listed := make(map[string]bool, len(demands))
	room := limit
	for _, demand := range demands {
		listed[demand.Member] = true
		room -= d.held(demand.Member, limit)
	}
	for _, member := range d.unlisted(listed) {
		room -= d.held(member, limit)
	}
	// Members that are configured but not listed keep their floor.
	room -= float64(max(0, d.cfg.FloorMembers-len(demands))) * d.cfg.Floor(limit)
	return max(0, room)
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

// held is the most that the member can be using.
func (d *Divider) held(member string, limit float64) float64 {
	held := d.cfg.Floor(limit)
	for _, g := range d.holdings[member] {
		held = math.Max(held, g.Rate)
	}
	return held
}

func (d *Divider) expire(now time.Time) {
	for member, list := range d.holdings {
		for len(list) > 0 && !now.Before(list[0].Until) {
			list = list[1:]
		}
		if len(list) == 0 {
			delete(d.holdings, member)
			continue
		}
		d.holdings[member] = list
	}
}

func (d *Divider) grant(now time.Time, member string, rate, limit float64, until time.Time) Grant {
	expiry := now.Add(d.cfg.TTL)
	if !until.IsZero() && until.Before(expiry) {
		expiry = until
	}
	d.sequence++
	g := Grant{Member: member, Sequence: d.sequence, Rate: rate, Floor: d.cfg.Floor(limit), Until: expiry}
	list := append(d.holdings[member], g)
	if len(list) > maxGrants {
		list = mergeOldest(list)
	}
	d.holdings[member] = list
	return g
}

// mergeOldest joins the two oldest grants into one that counts at least as much for at least as long.
func mergeOldest(list []Grant) []Grant {
	merged := list[1]
	merged.Rate = max(list[0].Rate, list[1].Rate)
	if list[0].Until.After(merged.Until) {
		merged.Until = list[0].Until
	}
	list[1] = merged
	return list[1:]
}
