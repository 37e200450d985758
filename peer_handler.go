package knapweedhoist

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"knapweedhoist/claim"
	"knapweedhoist/control"
	"knapweedhoist/operator"
	"knapweedhoist/peer"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// peerHandler answers the calls of other entry instances.
type peerHandler struct {
	instance *Instance
}

// Call implements peer.Handler.
func (h *peerHandler) Call(ctx context.Context, call *wire.Call) (*wire.Answer, error) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Claim:
		return h.claim(ctx, call.GetFrom(), body.Claim)
	case *wire.Call_ClaimFinish:
		return h.claimFinish(ctx, call.GetFrom(), body.ClaimFinish)
	case *wire.Call_ConfigRelay:
		h.instance.hub.post(ctx, control.ConfigRelayed{From: call.GetFrom(), Relay: body.ConfigRelay})
		return ackAnswer(), nil
	case *wire.Call_ConfigFetch:
		return h.configFetch(ctx, body.ConfigFetch)
	case *wire.Call_Leaves:
		h.instance.hub.post(ctx, control.LeavesReceived{Leaves: body.Leaves.GetLeaves()})
		return ackAnswer(), nil
	case *wire.Call_RosterRelay:
		h.instance.hub.post(ctx, control.RosterRelayed{Relay: body.RosterRelay})
		return ackAnswer(), nil
	case *wire.Call_Quota:
		reply, err := h.instance.requestQuota(ctx, body.Quota)
		return &wire.Answer{Body: &wire.Answer_Quota{Quota: reply}}, err
	case *wire.Call_Timeline:
		return operator.AnswerQuery(h.instance.ring, body.Timeline)
	case *wire.Call_RequestStatus:
		return h.requestStatus(body.RequestStatus)
	default:
		h.recordHandover(call)
		if answer := h.instance.handoverTarget.Handle(time.Now(), call.GetFrom(), call); answer != nil {
			return answer, nil
		}
		return nil, &peer.RemoteError{Code: peer.CodeInvalid, Step: "peer call", Message: "unknown call"}
	}
}

// recordHandover records the requests that the call releases to this instance
// on the timeline.
func (h *peerHandler) recordHandover(call *wire.Call) {
	for _, id := range call.GetHandoverRelease().GetIds() {
		h.instance.ring.Record(timeline.Event{
			Kind: timeline.KindHandover, Request: id, Peer: call.GetFrom(), Step: "handover/release",
		})
	}
}

func ackAnswer() *wire.Answer {
	return &wire.Answer{Body: &wire.Answer_Ack{Ack: &wire.Ack{}}}
}

func (h *peerHandler) claim(ctx context.Context, from string, requested *wire.ClaimRequest) (*wire.Answer, error) {
	if int(requested.GetShard()) >= claim.DefaultShards {
		return nil, &peer.RemoteError{Code: peer.CodeInvalid, Step: "claim", Message: "no such shard"}
	}
	answer, err := h.instance.claimAtShard(ctx, int(requested.GetShard()), claimRequestFromMessage(from, requested))
	if err != nil {
		return nil, err
	}
	return &wire.Answer{Body: &wire.Answer_Claim{Claim: claimReply(answer)}}, nil
}

func (h *peerHandler) claimFinish(ctx context.Context, from string, finish *wire.ClaimFinish) (*wire.Answer, error) {
	if int(finish.GetShard()) >= claim.DefaultShards {
		return nil, &peer.RemoteError{Code: peer.CodeInvalid, Step: "claim_finish", Message: "no such shard"}
	}
	ack, err := h.instance.finishAtShard(ctx, int(finish.GetShard()), finishFromMessage(from, finish))
	if err != nil {
		return nil, err
	}
	if ack.Result == claim.Retry {
		return nil, &peer.RemoteError{Code: peer.CodeNotOwner, Step: "claim_finish", Message: "the shard changed hands"}
	}
	return &wire.Answer{Body: &wire.Answer_ClaimAck{ClaimAck: &wire.ClaimAck{NoClaim: ack.Result == claim.NoClaim}}}, nil
}

// configFetch answers with the configuration document if it is newer than the
// revision of the fetch, and otherwise with an Ack.
func (h *peerHandler) configFetch(ctx context.Context, fetch *wire.ConfigFetch) (*wire.Answer, error) {
	hub := h.instance.hub
	ref, document := hub.configDocuments.register()
	hub.post(ctx, control.ConfigRequested{Ref: ref, Revision: fetch.GetRevision()})
	newer, err := hub.configDocuments.wait(ctx, ref, document)
	if err != nil || newer == nil {
		return ackAnswer(), err
	}
	return &wire.Answer{Body: &wire.Answer_Config{Config: newer}}, nil
}

func (h *peerHandler) requestStatus(query *wire.RequestQuery) (*wire.Answer, error) {
	id, err := request.ParseID(query.GetId())
	if err != nil {
		return nil, &peer.RemoteError{Code: peer.CodeInvalid, Step: "request_status", Message: err.Error()}
	}
	status, err := h.instance.requestStatus(id)
	if err != nil {
		return nil, &peer.RemoteError{Code: peer.CodeNotFound, Step: "request_status", Message: err.Error()}
	}
	encoded, err := json.Marshal(status)
	return &wire.Answer{Body: &wire.Answer_RequestStatus{RequestStatus: encoded}}, err
}

// Stream implements peer.Handler. It streams the events of a request.
func (h *peerHandler) Stream(ctx context.Context, call *wire.Call, send func(*wire.Answer) error) error {
	attach := call.GetAttach()
	if attach == nil {
		return &peer.RemoteError{Code: peer.CodeInvalid, Step: "peer stream", Message: "unknown call"}
	}
	id, err := request.ParseID(attach.GetId())
	if err != nil {
		return &peer.RemoteError{Code: peer.CodeInvalid, Step: "attach", Message: err.Error()}
	}
	err = h.instance.attachLocal(ctx, id, attach.GetTeam(), attach.GetAfter(), func(event request.Event) error {
		return send(&wire.Answer{Body: &wire.Answer_AttachEvent{AttachEvent: event.Message()}})
	})
	return attachErrorToRemote(err)
}

// attachErrorToRemote converts an error of attachLocal to the error that is sent
// to the peer.
func attachErrorToRemote(err error) error {
	switch {
	case errors.Is(err, request.ErrNotFound), errors.Is(err, request.ErrMoved):
		return &peer.RemoteError{Code: peer.CodeNotFound, Step: "attach", Message: err.Error()}
	case errors.Is(err, request.ErrForbidden):
		return &peer.RemoteError{Code: peer.CodeForbidden, Step: "attach", Message: err.Error()}
	default:
		return err
	}
}
