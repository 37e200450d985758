package soak

import (
	"encoding/json"
	"fmt"

	"knapweedhoist/objectapi"
	"knapweedhoist/request"
)

// maxSuccessors bounds the chain of successors that a search follows, as in the root package.
const maxSuccessors = 16

// find looks for a request locally, then at the instance that accepted it and along the chain of successors, as the
// root package's attacher does. It returns nil while no reachable instance of the chain holds the request.
func (in *instance) find(j *job) (*instance, *request.Entry) {
	if entry, err := in.registry.Find(j.spec.ID, j.spec.Team); err == nil {
		return in, entry
	}
	owner := j.spec.ID.Incarnation
	for range maxSuccessors {
		if at := in.reachable(owner); at != nil {
			if entry, err := at.registry.Find(j.spec.ID, j.spec.Team); err == nil {
				return at, entry
			}
		}
		next, found := in.successorOf(owner)
		if !found || next == owner {
			return nil, nil
		}
		owner = next
	}
	return nil, nil
}

// reachable returns the instance at the peer address of an incarnation, nil if it is unknown, paused or cut off.
func (in *instance) reachable(incarnation string) *instance {
	if incarnation == in.incarnation {
		return in
	}
	m := in.view.Fleet.Member(incarnation)
	if m == nil || m.PeerAddress == "" {
		return nil
	}
	at := in.w.instanceAt(m.PeerAddress)
	if at == nil || at.paused() || in.w.net.blocked(in, at) {
		return nil
	}
	return at
}

// successorOf returns the successor of an incarnation from the fleet view, or from the stored departure record.
func (in *instance) successorOf(incarnation string) (string, bool) {
	if next, found := in.view.Fleet.NextSuccessor(incarnation); found && next != "" {
		return next, true
	}
	if in.w.net.cut(in.dc, platformSite) || in.w.outages > 0 {
		return "", false
	}
	object, found := in.w.platform.store.Object(objectapi.KindDeparture, incarnation)
	if !found {
		return "", false
	}
	var record departureRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return "", false
	}
	return record.Successor, record.Successor != ""
}

// departureRecord is the stored value of a departure.
type departureRecord struct {
	Successor string `json:"successor"`
}

// blocked reports whether messages between two instances are lost: their data centres are cut off from each other or
// their connection is silent.
func (n *network) blocked(a, b *instance) bool {
	return n.cut(a.dc, b.dc) || n.silent(a.address, b.address)
}

// describeMember describes the member entry that an instance has of another one.
func (in *instance) describeMember(other *instance) string {
	m := in.view.Fleet.Member(other.incarnation)
	if m == nil {
		return "missing"
	}
	return fmt.Sprintf("%s at %q, heard %v ago", m.State, m.PeerAddress, in.w.now.Sub(m.LastHeard))
}
