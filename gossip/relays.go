package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// relayCount is the number of instances in each data centre that read the store for the others there. The others spread
// their reads over them, and one alone suffices if the other two are cut off or stop.
const relayCount = 3

// Relays returns the addresses of the instances that read the store for this one, the preferred one first, or none when
// this instance reads the store itself. isRelay is set when others read the store through this instance. Relays are the
// first relayCount instances of the data centre by name that are not leaving and whose newest report is at most maxAge old.
// This instance itself always counts.
func (d *Directory) Relays(now time.Time, maxAge time.Duration, dataCentre string) (addresses []string, isRelay bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := []string{d.self}
	for name, member := range d.members {
		if now.Sub(member.LastReportAt) <= maxAge && member.report.DataCentre == dataCentre && !member.report.Leaving {
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
	// The hash gives each instance its own order of the relays, so that the reads are spread over them.
	slices.SortFunc(relays, func(a, b string) int {
		return cmp.Compare(xxh3.HashString(a+d.self), xxh3.HashString(b+d.self))
	})
	for _, name := range relays {
		addresses = append(addresses, d.members[name].Address)
	}
	return addresses, false
}
