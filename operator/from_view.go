package operator

import (
	"cmp"
	"slices"
	"time"

	"knapweedhoist/membership"
)

// FillStatus sets the fields of a status that are derived from a membership view: the identity of
// this instance, Instances, and Datacentres in ascending order of name.
func FillStatus(status *Status, view *membership.View) {
	status.Instance, status.Incarnation, status.Datacentre = view.Self.ID, view.Self.Incarnation, view.Self.Datacentre
	datacentres := make(map[string]*DatacentreStatus)
	for _, m := range view.Members {
		status.Instances = append(status.Instances, InstanceStatus{
			ID: m.ID, Incarnation: m.Incarnation, Datacentre: m.Datacentre, State: m.State.String(),
			Revision: m.Revision, RevisionSince: m.RevisionSince, LastHeard: m.LastHeard,
			OperatorAddress: m.OperatorAddress, Successor: m.Successor,
		})
		countMember(datacentreEntry(datacentres, m.Datacentre), m)
	}
	for _, e := range view.Endpoints {
		d := datacentreEntry(datacentres, e.Datacentre)
		if e.Leaving {
			d.EndpointsLeaving++
		} else {
			d.Endpoints++
		}
	}
	for _, d := range datacentres {
		status.Datacentres = append(status.Datacentres, *d)
	}
	slices.SortFunc(status.Datacentres, func(a, b DatacentreStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// datacentreEntry returns the status of a data centre and adds it to the map if it is missing.
func datacentreEntry(datacentres map[string]*DatacentreStatus, name string) *DatacentreStatus {
	if datacentres[name] == nil {
		datacentres[name] = &DatacentreStatus{Name: name}
	}
	return datacentres[name]
}

// countMember adds a member to the counts of its data centre.
func countMember(d *DatacentreStatus, m *membership.Member) {
	switch m.State {
	case membership.Live:
		d.Live++
	case membership.Suspect:
		d.Suspect++
	case membership.Dead:
		d.Dead++
	case membership.Leaving:
		d.Leaving++
	}
	if m.LastHeard.After(d.LastHeard) {
		d.LastHeard = m.LastHeard
	}
}

// EndpointStatuses returns the status of each endpoint of a view; now determines the age of load reports.
func EndpointStatuses(view *membership.View, now time.Time) []EndpointStatus {
	statuses := make([]EndpointStatus, 0, len(view.Endpoints))
	for _, e := range view.Endpoints {
		s := EndpointStatus{
			ID: e.ID, Service: e.Service, Datacentre: e.Datacentre, Zone: e.Zone, Class: e.Class, Address: e.Address,
			Reclaimable: e.Reclaimable, State: "live", LoadAgeMs: -1,
			Running: e.Load.Running, Queued: e.Load.Queued,
			PrefillTokens: e.Load.PrefillTokens, DecodeTokens: e.Load.DecodeTokens,
		}
		if e.Leaving {
			s.State = "leaving"
		}
		if age, ok := e.LoadAge(now); ok {
			s.LoadAgeMs = age.Milliseconds()
		}
		statuses = append(statuses, s)
	}
	return statuses
}

// NewRevisionStatus reports whether all live instances of a status have at least the revision want,
// and which ones do not or are unreachable.
func NewRevisionStatus(status Status, want uint64) RevisionStatus {
	result := RevisionStatus{Revision: status.Revision}
	for _, i := range status.Instances {
		switch i.State {
		case membership.Live.String():
			if i.Revision < want {
				result.Behind = append(result.Behind, i)
			}
		case membership.Suspect.String(), membership.Dead.String():
			result.Unreachable = append(result.Unreachable, i)
		}
	}
	result.Everywhere = status.Revision >= want && len(result.Behind) == 0
	return result
}
