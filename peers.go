package knapweedhoist

import (
	"context"
	"errors"

	"knapweedhoist/control"
	"knapweedhoist/wire"
)

// errUnknownPeer means that the fleet view has no peer address for an
// incarnation.
var errUnknownPeer = errors.New("knapweedhoist: unknown peer")

// callPeer calls the entry instance with the given incarnation.
func (i *Instance) callPeer(ctx context.Context, incarnation string, call *wire.Call) (*wire.Answer, error) {
	address, err := i.peerAddress(incarnation)
	if err != nil {
		return nil, err
	}
	return i.peers.Call(ctx, address, call)
}

func (i *Instance) peerAddress(incarnation string) (string, error) {
	m := i.view.Load().Fleet.Member(incarnation)
	if m == nil || m.PeerAddress == "" {
		return "", stepError("find peer", incarnation, errUnknownPeer)
	}
	return m.PeerAddress, nil
}

// fetchConfig fetches a configuration document newer than fetch.Revision from a
// peer and posts the result. The posted document is nil if the call fails or the
// peer has no newer document.
func (i *Instance) fetchConfig(ctx context.Context, fetch control.FetchConfig) {
	bounded, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_ConfigFetch{ConfigFetch: &wire.ConfigFetch{Revision: fetch.Revision}}}
	answer, err := i.callPeer(bounded, fetch.From, call)
	if err != nil {
		i.lg.Debug("configuration cannot be fetched from the peer", "step", "fetch_config", "peer", fetch.From, "error", err.Error())
	}
	i.hub.post(ctx, control.ConfigFetched{From: fetch.From, Document: answer.GetConfig()})
}
