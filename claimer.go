package knapweedhoist

import (
	"context"
	"errors"
	"time"

	"knapweedhoist/backend"
	"knapweedhoist/claim"
	"knapweedhoist/control"
	"knapweedhoist/internal/wait"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// claimer sends claims to the owner of the key's shard, which is this instance
// or a peer.
type claimer struct {
	instance *Instance
}

// Claim implements backend.Claimer.
func (c *claimer) Claim(ctx context.Context, requested backend.Claim) (backend.Verdict, error) {
	i := c.instance
	key := claim.KeyHash(requested.Team, requested.Service, requested.Key)
	shard := claim.ShardOf(key, claim.DefaultShards)
	claimRequest := claim.Request{
		Key: key, Body: requested.CallHash, RequestID: requested.RequestID.String(), From: i.incarnation,
		Retention: i.retention(requested.Service),
	}
	claimRequest.Deadline, _ = ctx.Deadline()
	owner := i.view.Load().Fleet.Owner(control.ShardKey(shard))
	if owner == nil {
		return backend.Verdict{}, backend.ErrClaimUnavailable
	}
	if owner.Incarnation == i.incarnation {
		answer, err := i.claimAtShard(ctx, shard, claimRequest)
		return verdictOf(answer, err)
	}
	answer, err := i.callPeer(ctx, owner.Incarnation, &wire.Call{Body: &wire.Call_Claim{Claim: claimRequestMessage(shard, claimRequest)}})
	if err != nil {
		return backend.Verdict{}, errors.Join(backend.ErrClaimUnavailable, err)
	}
	return verdictOf(answerFromMessage(answer.GetClaim()), nil)
}

func (i *Instance) retention(service string) time.Duration {
	if snapshot := i.view.Load().Catalog; snapshot != nil {
		if found, ok := snapshot.Service(service); ok && found.RetentionHours > 0 {
			return time.Duration(found.RetentionHours) * time.Hour
		}
	}
	return claim.DefaultRetention
}

// claimAtShard passes a claim request to a shard of this instance and waits
// for the answer.
func (i *Instance) claimAtShard(ctx context.Context, shard int, claimRequest claim.Request) (claim.Answer, error) {
	ref, answer := i.hub.claimAnswers.register()
	claimRequest.Ref = ref
	i.hub.post(ctx, control.ClaimRequested{Shard: shard, Request: claimRequest})
	return i.hub.claimAnswers.wait(ctx, ref, answer)
}

func (i *Instance) finishAtShard(ctx context.Context, shard int, finish claim.Finish) (claim.Ack, error) {
	ref, ack := i.hub.claimAcks.register()
	finish.Ref = ref
	i.hub.post(ctx, control.ClaimFinished{Shard: shard, Finish: finish})
	return i.hub.claimAcks.wait(ctx, ref, ack)
}

func verdictOf(answer claim.Answer, err error) (backend.Verdict, error) {
	if err != nil {
		return backend.Verdict{}, errors.Join(backend.ErrClaimUnavailable, err)
	}
	verdict := backend.Verdict{}
	switch answer.Verdict {
	case claim.Granted:
		verdict.Kind = backend.VerdictGranted
	case claim.InProgress:
		verdict.Kind = backend.VerdictInProgress
	case claim.Finished:
		verdict.Kind = backend.VerdictDone
	case claim.Mismatch:
		verdict.Kind = backend.VerdictMismatch
	case claim.NotOwner, claim.Unavailable:
		return verdict, backend.ErrClaimUnavailable
	default:
		return verdict, backend.ErrClaimUnavailable
	}
	if answer.Holder != "" {
		holder, err := request.ParseID(answer.Holder)
		if err != nil {
			return verdict, stepError("claim", "", err)
		}
		verdict.Holder = holder
	}
	if answer.Kept {
		verdict.Answer = &backend.StoredAnswer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	}
	return verdict, nil
}

// Timing of the reports of ended claims: the timeout of a report and the delay
// before it is repeated.
const (
	claimReportTimeout = 5 * time.Second
	claimReportRetry   = time.Second
	// lateClaimWindow is how long after the end of a claim its report is repeated
	// if the shard answers that it has no such claim. An abandoned claim request
	// can reach the shard after the report: its message can be delayed up to the
	// timeout of a session, and the shard keeps the request for up to
	// peerClaimTimeout.
	lateClaimWindow = time.Minute
)

// Finish implements backend.Claimer. It repeats the report in the background
// until the shard stores or refuses it, reports no claim after lateClaimWindow,
// or the instance ends. In the last case the key stays claimed until the claim
// expires, which is safe: no other request runs the call.
func (c *claimer) Finish(claimResult backend.ClaimResult) {
	go func() {
		ctx := c.instance.drain.lifetime()
		for ctx.Err() == nil {
			result := c.report(ctx, claimResult)
			if result == claim.Stored || result == claim.Refused {
				return
			}
			if result == claim.NoClaim && time.Since(claimResult.EndedAt) > lateClaimWindow {
				return
			}
			wait.For(ctx, claimReportRetry)
		}
	}()
}

// report sends the result of a claim to the owner of the shard. It returns
// claim.Retry if the owner is unknown or does not answer. A result that a peer
// refuses is returned as claim.Stored, since neither is reported again.
func (c *claimer) report(ctx context.Context, claimResult backend.ClaimResult) claim.AckResult {
	bounded, cancel := context.WithTimeout(ctx, claimReportTimeout)
	defer cancel()
	i := c.instance
	key := claim.KeyHash(claimResult.Claim.Team, claimResult.Claim.Service, claimResult.Claim.Key)
	shard := claim.ShardOf(key, claim.DefaultShards)
	finish := finishOf(key, i.incarnation, claimResult)
	owner := i.view.Load().Fleet.Owner(control.ShardKey(shard))
	if owner == nil {
		return claim.Retry
	}
	if owner.Incarnation == i.incarnation {
		ack, err := i.finishAtShard(bounded, shard, finish)
		if err != nil {
			return claim.Retry
		}
		return ack.Result
	}
	answer, err := i.callPeer(bounded, owner.Incarnation, &wire.Call{
		Body: &wire.Call_ClaimFinish{ClaimFinish: finishMessage(shard, finish)},
	})
	switch {
	case err != nil:
		return claim.Retry
	case answer.GetClaimAck().GetNoClaim():
		return claim.NoClaim
	default:
		return claim.Stored
	}
}

func finishOf(key claim.Hash, from string, claimResult backend.ClaimResult) claim.Finish {
	finish := claim.Finish{Key: key, RequestID: claimResult.Claim.RequestID.String(), From: from, Released: claimResult.Released}
	if claimResult.Answer != nil {
		finish.Status, finish.ContentType = claimResult.Answer.Status, claimResult.Answer.ContentType
		finish.Answer, finish.Kept = claimResult.Answer.Body, true
	}
	return finish
}
