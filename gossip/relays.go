package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// relayCount is the number of instances of each data centre that read the store for the others there: one to serve,
// and two more for when it is cut off or stops.
const relayCount = 3

// Relays returns the addresses of the instances that read the store for this one, in an order of its own, or none
// when it reads the store itself. read tells that others read the store through this instance.
func (d *Directory) Relays(now time.Time, within time.Duration, dataCentre string) (addresses []string, read bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := []string{d.self}
	for name, member := range d.members {
		if now.Sub(member.HeardAt) <= within && member.report.DataCentre == dataCentre && !member.report.Leaving {
			names = append(names, name)
		}
	}
	if len(names) <= relayCount {
		return nil, false
	}
	slices.Sort(names)
	relays := names[:relayCount]
	if slices.Contains(relays, d.self) {
		return nil, true
	}
	// Each instance prefers another relay, so that the reads are spread.
	slices.SortFunc(relays, func(a, b string) int {
		return cmp.Compare(xxh3.HashString(a+d.self), xxh3.HashString(b+d.self))
	})
	for _, name := range relays {
		addresses = append(addresses, d.members[name].Address)
	}
	return addresses, false
}
