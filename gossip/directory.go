package gossip

import (
	"sort"
	"sync"
	"time"

	"knapweedhoist/dispatch"
)

// Member is another entry instance.
type Member struct {
	Name    string
	Address string
	// Listed members have an object in the store.
	Listed bool
	// SeenAt is when the member became known, HeardAt the time of the newest report, zero before the first one.
	SeenAt, HeardAt time.Time
	report          Report
}

// Directory knows the other entry instances: those listed in the store and
// those that have reported. It is safe for concurrent use.
type Directory struct {
	self string

	mu      sync.Mutex
	members map[string]*Member
}

// memory is how long an instance that is not listed is kept after its last report.
const memory = 30 * time.Second

// NewDirectory returns a Directory of the instance named self.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, members: make(map[string]*Member)}
}

// SetListed replaces the listed instances, addresses by name.
func (d *Directory) SetListed(now time.Time, addresses map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, member := range d.members {
		_, member.Listed = addresses[name]
		if !member.Listed && now.Sub(member.HeardAt) > memory {
			delete(d.members, name)
		}
	}
	for name, address := range addresses {
		if name == d.self {
			continue
		}
		if member := d.members[name]; member != nil {
			if member.HeardAt.IsZero() {
				member.Address = address
			}
			continue
		}
		d.members[name] = &Member{Name: name, Address: address, Listed: true, SeenAt: now}
	}
}

// Observe takes in a report. It returns false for one that is older than what is known.
func (d *Directory) Observe(now time.Time, report Report) bool {
	if report.Source.Instance == d.self {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	member := d.members[report.Source.Instance]
	if member == nil {
		member = &Member{Name: report.Source.Instance, SeenAt: now}
		d.members[member.Name] = member
	}
	known := member.report
	if known.Source.Boot == report.Source.Boot && known.Sequence >= report.Sequence {
		return false
	}
	member.Address, member.HeardAt, member.report = report.Address, now, report
	return true
}

// Members returns all other instances, by name.
func (d *Directory) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Member, 0, len(d.members))
	for _, member := range d.members {
		all = append(all, *member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Count returns the number of other instances.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members)
}

// Work returns the work of all instances heard within the given time, by endpoint.
func (d *Directory) Work(now time.Time, within time.Duration) map[string]dispatch.Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	sums := make(map[string]dispatch.Work)
	for _, member := range d.members {
		if now.Sub(member.HeardAt) > within {
			continue
		}
		for _, work := range member.report.Works {
			sum := sums[work.Endpoint]
			sum.Running += work.Running
			sum.PendingTokens += work.PendingTokens
			sums[work.Endpoint] = sum
		}
	}
	return sums
}

// goneAfter is how long a listed instance must be silent before it counts as gone for good: longer than cuts and
// restarts last.
const goneAfter = 20 * time.Second

// Gone returns the listed instances that are gone for good. It returns none
// while this instance does not hear most of the others, since it may be cut off
// itself.
func (d *Directory) Gone(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []string
	heard := 0
	for name, member := range d.members {
		silent := now.Sub(latest(member.SeenAt, member.HeardAt))
		switch {
		case silent < time.Second:
			heard++
		case member.Listed && silent >= goneAfter:
			gone = append(gone, name)
		}
	}
	if 2*heard <= len(d.members) {
		return nil
	}
	sort.Strings(gone)
	return gone
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Rank returns the position of this instance among those that were heard
// lately and are not leaving, in the order of their names.
func (d *Directory) Rank(now time.Time, within time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	rank := 0
	for _, member := range d.members {
		if member.Name < d.self && now.Sub(member.HeardAt) <= within && !member.report.Leaving {
			rank++
		}
	}
	return rank
}
