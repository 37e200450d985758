// Package gossip exchanges reports between entry instances as UDP datagrams. Each instance sends all others its use of
// the teams' limits, its work at the endpoints, its clock, its request counts and the version of its configuration. The
// next report replaces a lost one, since all counts are totals.
package gossip

import (
	"time"

	"knapweedhoist/dispatch"
	"knapweedhoist/teamlimit"
	"knapweedhoist/usage"
	"knapweedhoist/wire"
)

// Report is the state that one instance sends to all others.
type Report struct {
	Source usage.Source
	// Address is the IP:PORT at which the sender receives reports and answers reads.
	Address string
	// DataCentre is the data centre of the sender.
	DataCentre string
	// Sequence increases with each report of the same Source.
	Sequence uint64
	// Wall is the time of the sender's wall clock when it sent the report.
	Wall time.Time
	// ConfigVersion is the version of the sender's configuration, 0 if it has none.
	ConfigVersion int64
	// ConfigAge is the time since the sender last confirmed that its configuration is the newest.
	ConfigAge time.Duration
	// Leaving is set while the sender stops: it takes no new work and releases its duties.
	Leaving bool
	// Uses holds the use of each team at the sender, Work the sender's work at each endpoint.
	Uses []teamlimit.Use
	Work []dispatch.Work
	// Windows holds the sender's request counts by the index of the window, see usage.Ledger.Window.
	Windows map[int64]usage.Counts
	// PrefillRates holds the prompt tokens per second that the endpoints process for the sender, by service.
	PrefillRates map[string]float64
}

// message returns the report as a wire message.
func (r Report) message() *wire.InstanceReport {
	message := &wire.InstanceReport{
		Instance: r.Source.Instance, Boot: r.Source.Boot, Address: r.Address, DataCentre: r.DataCentre,
		Sequence: r.Sequence, WallNanos: r.Wall.UnixNano(), ConfigVersion: r.ConfigVersion, Leaving: r.Leaving,
		ConfigAgeMs: r.ConfigAge.Milliseconds(), ReadRates: r.PrefillRates,
	}
	for _, use := range r.Uses {
		message.Uses = append(message.Uses, &wire.ReportedUse{Team: use.Team, Total: use.Total, Level: use.Level})
	}
	for _, work := range r.Work {
		message.Works = append(message.Works, &wire.ReportedWork{
			Endpoint: work.Endpoint, Running: int32(work.Running), Pending: int32(work.PendingTokens),
		})
	}
	for window, counts := range r.Windows {
		reported := &wire.ReportedWindow{Window: window, Counts: make(map[string]int32, len(counts))}
		for team, n := range counts {
			reported.Counts[team] = int32(n)
		}
		message.Windows = append(message.Windows, reported)
	}
	return message
}

// decodeReport returns the report of a wire message.
func decodeReport(message *wire.InstanceReport) Report {
	r := Report{
		Source:  usage.Source{Instance: message.Instance, Boot: message.Boot},
		Address: message.Address, DataCentre: message.DataCentre, Sequence: message.Sequence,
		Wall: time.Unix(0, message.WallNanos), ConfigVersion: message.ConfigVersion, Leaving: message.Leaving,
		ConfigAge: time.Duration(message.ConfigAgeMs) * time.Millisecond, PrefillRates: message.ReadRates,
		Windows: make(map[int64]usage.Counts, len(message.Windows)),
	}
	for _, use := range message.Uses {
		r.Uses = append(r.Uses, teamlimit.Use{Team: use.Team, Total: use.Total, Level: use.Level})
	}
	for _, work := range message.Works {
		r.Work = append(r.Work, dispatch.Work{
			Endpoint: work.Endpoint, Running: int(work.Running), PendingTokens: int(work.Pending),
		})
	}
	for _, window := range message.Windows {
		counts := make(usage.Counts, len(window.Counts))
		for team, n := range window.Counts {
			counts[team] = int(n)
		}
		r.Windows[window.Window] = counts
	}
	return r
}
