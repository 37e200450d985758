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

// claimer asks the owner of a key's shard, here or at a peer.
type claimer struct {
	instance *Instance
}

// Claim implements backend.Claimer.
func (c *claimer) Claim(ctx context.Context, asked backend.Claim) (backend.Verdict, error) {
	i := c.instance
	key := claim.KeyHash(asked.Team, asked.Service, asked.Key)
	shard := claim.ShardOf(key, claim.DefaultShards)
	ask := claim.Request{
		Key: key, Body: asked.BodyHash, RequestID: asked.RequestID.String(), From: i.incarnation,
		Retention: i.retention(asked.Service),
	}
	ask.Deadline, _ = ctx.Deadline()
	owner := i.view.Load().Fleet.Owner(control.ShardKey(shard))
	if owner == nil {
		return backend.Verdict{}, backend.ErrClaimUnavailable
	}
	if owner.Incarnation == i.incarnation {
		answer, err := i.askShard(ctx, shard, ask)
		return verdictOf(answer, err)
	}
	answer, err := i.callPeer(ctx, owner.Incarnation, &wire.Call{Body: &wire.Call_Claim{Claim: askMessage(shard, ask)}})
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

// askShard asks this instance's shard and waits for the answer.
func (i *Instance) askShard(ctx context.Context, shard int, ask claim.Request) (claim.Answer, error) {
	ref, answer := i.hub.claims.open()
	ask.Ref = ref
	i.hub.post(ctx, control.ClaimRequested{Shard: shard, Request: ask})
	return i.hub.claims.wait(ctx, ref, answer)
}

func (i *Instance) finishAtShard(ctx context.Context, shard int, finish claim.Finish) (claim.Ack, error) {
	ref, ack := i.hub.acks.open()
	finish.Ref = ref
	i.hub.post(ctx, control.ClaimFinished{Shard: shard, Finish: finish})
	return i.hub.acks.wait(ctx, ref, ack)
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

// Times of reports of ended claims.
const (
	claimReportTimeout = 5 * time.Second
	claimReportRetry   = time.Second
	// lateClaim is how long a claim that was given up may still arrive at the
	// shard: an ask lives for peerClaimTimeout there, and its message for as
	// long as a session may be silent. Until then the release is repeated.
	lateClaim = time.Minute
)

// Finish implements backend.Claimer. It repeats the report until it is stored
// or the instance ends; then the key stays claimed, which is safe.
func (c *claimer) Finish(end backend.ClaimResult) {
	go func() {
		ctx := c.instance.drain.alive()
		for ctx.Err() == nil {
			result := c.report(ctx, end)
			if result == claim.Stored || result == claim.Refused {
				return
			}
			if result == claim.NoClaim && time.Since(end.At) > lateClaim {
				return
			}
			wait.For(ctx, claimReportRetry)
		}
	}()
}

// report tells the owner of the shard how a claim ended; no answer is a Retry.
func (c *claimer) report(ctx context.Context, end backend.ClaimResult) claim.AckResult {
	bounded, cancel := context.WithTimeout(ctx, claimReportTimeout)
	defer cancel()
	i := c.instance
	key := claim.KeyHash(end.Claim.Team, end.Claim.Service, end.Claim.Key)
	shard := claim.ShardOf(key, claim.DefaultShards)
	finish := finishOf(key, i.incarnation, end)
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

func finishOf(key claim.Hash, from string, end backend.ClaimResult) claim.Finish {
	finish := claim.Finish{Key: key, RequestID: end.Claim.RequestID.String(), From: from, Released: end.Released}
	if end.Answer != nil {
		finish.Status, finish.ContentType = end.Answer.Status, end.Answer.ContentType
		finish.Answer, finish.Kept = end.Answer.Body, true
	}
	return finish
}
