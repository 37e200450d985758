package gossip

import (
	"sort"
	"sync"
	"time"

	"knapweedhoist/dispatch"
)

// Member is another entry instance.
type Member struct {
	Name string
	// Address is the IP:PORT at which the member receives reports and answers reads.
	Address string
	// Listed is set when the store has an object for the member.
	Listed bool
	// FirstSeenAt is when the member was first listed or sent its first report. LastReportAt is when its newest report
	// arrived, zero before the first one.
	FirstSeenAt, LastReportAt time.Time
	report                    Report
}

// Directory holds the other entry instances: those that the store lists and those that sent reports. It is safe for
// concurrent use.
type Directory struct {
	self string

	mu      sync.Mutex
	members map[string]*Member
}

// unlistedRetention is how long an instance that is not listed is kept after its last report.
const unlistedRetention = 30 * time.Second

// NewDirectory returns an empty Directory for the instance named self.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, members: make(map[string]*Member)}
}

// SetListed replaces the listed instances, given as addresses by name. It removes the instances that are not listed and
// have sent no report for unlistedRetention. The address in a report takes precedence over the listed one.
func (d *Directory) SetListed(now time.Time, addresses map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, member := range d.members {
		_, member.Listed = addresses[name]
		if !member.Listed && now.Sub(member.LastReportAt) > unlistedRetention {
			delete(d.members, name)
		}
	}
	for name, address := range addresses {
		if name == d.self {
			continue
		}
		if member := d.members[name]; member != nil {
			if member.LastReportAt.IsZero() {
				member.Address = address
			}
			continue
		}
		d.members[name] = &Member{Name: name, Address: address, Listed: true, FirstSeenAt: now}
	}
}

// Observe stores a report. It returns false for this instance's own report and for one that is not newer than the
// stored report of the same process start. A report of another process start of the sender is always stored.
func (d *Directory) Observe(now time.Time, report Report) bool {
	if report.Source.Instance == d.self {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	member := d.members[report.Source.Instance]
	if member == nil {
		member = &Member{Name: report.Source.Instance, FirstSeenAt: now}
		d.members[member.Name] = member
	}
	previous := member.report
	if previous.Source.Boot == report.Source.Boot && previous.Sequence >= report.Sequence {
		return false
	}
	member.Address, member.LastReportAt, member.report = report.Address, now, report
	return true
}

// Members returns all other instances, sorted by name.
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

// Work returns the sum of the work of all other instances whose newest report is at most maxAge old, by endpoint.
func (d *Directory) Work(now time.Time, maxAge time.Duration) map[string]dispatch.Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	sums := make(map[string]dispatch.Work)
	for _, member := range d.members {
		if now.Sub(member.LastReportAt) > maxAge {
			continue
		}
		for _, work := range member.report.Work {
			sum := sums[work.Endpoint]
			sum.Running += work.Running
			sum.PendingTokens += work.PendingTokens
			sums[work.Endpoint] = sum
		}
	}
	return sums
}

// deadAfter is how long a listed instance must send no report before it counts as dead. It is longer than network
// partitions and restarts last.
const deadAfter = 20 * time.Second

// Dead returns the names of the listed instances that are dead, sorted. It returns none unless more than half of the
// others have reported or were first seen in the last second, since this instance may be cut off itself.
func (d *Directory) Dead(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dead []string
	reporting := 0
	for name, member := range d.members {
		sinceReport := now.Sub(latest(member.FirstSeenAt, member.LastReportAt))
		switch {
		case sinceReport < time.Second:
			reporting++
		case member.Listed && sinceReport >= deadAfter:
			dead = append(dead, name)
		}
	}
	if 2*reporting <= len(d.members) {
		return nil
	}
	sort.Strings(dead)
	return dead
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Rank returns the position of this instance in the order of names, from 0, among the instances that are not leaving and
// whose newest report is at most maxAge old.
func (d *Directory) Rank(now time.Time, maxAge time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	rank := 0
	for _, member := range d.members {
		if member.Name < d.self && now.Sub(member.LastReportAt) <= maxAge && !member.report.Leaving {
			rank++
		}
	}
	return rank
}
