package soak

import (
	"time"

	"knapweedhoist/claim"
	"knapweedhoist/control"
	"knapweedhoist/request"
)

// peerClaimTimeout bounds how long a shard works on a claim request of a peer.
const peerClaimTimeout = 5 * time.Second

// claim sends the claim request to the owner of the key's shard: this instance or a peer.
func (t *task) claim() {
	in := t.in
	if t.done || t.claimPending {
		return
	}
	if in.w.plantedFaults.skipClaim {
		_ = t.entry.MarkClaimed()
		t.startAttempt()
		return
	}
	ask := claim.Request{
		Key: t.key(), Body: t.job.spec.CallHash, RequestID: t.job.spec.ID.String(), From: in.incarnation,
		Deadline: t.job.spec.Deadline,
	}
	t.claimPending = true
	in.atShard(ask.Key, func(to *instance, shard int, answer func(any)) {
		if to != in {
			ask.Deadline = in.w.now.Add(peerClaimTimeout)
		}
		to.ask(shard, ask, answer)
	}, t.claimAnswered)
}

func (t *task) key() claim.Hash {
	return claim.KeyHash(t.job.spec.Team, t.job.spec.Service, t.job.spec.Key)
}

// atShard calls handle at the owner of a key's shard, and report with the result: nil if no answer arrives.
func (in *instance) atShard(key claim.Hash, handle func(*instance, int, func(any)), report func(any)) {
	shard := claim.ShardOf(key, shards)
	owner := in.view.Fleet.Owner(control.ShardKey(shard))
	switch {
	case owner == nil:
		in.w.after(0, func() { in.do(func() { report(nil) }) })
	case owner.Incarnation == in.incarnation:
		handle(in, shard, report)
	default:
		in.callPeer(owner.Incarnation, sessionTimeout, func(to *instance, answer func(any)) { handle(to, shard, answer) }, report)
	}
}

// ask passes a claim request to a shard of this instance.
func (in *instance) ask(shard int, ask claim.Request, answer func(any)) {
	in.w.lastClaimRef++
	ask.Ref = in.w.lastClaimRef
	in.claims[ask.Ref] = answer
	in.step(control.ClaimRequested{Shard: shard, Request: ask})
}

// claimAnswered acts on a claim verdict the way package backend does.
func (t *task) claimAnswered(result any) {
	t.claimPending = false
	answer, found := result.(claim.Answer)
	if t.done {
		return
	}
	t.inProgress = false
	if !found {
		answer.Verdict = claim.Unavailable
	}
	t.in.w.verdicts[answer.Verdict]++
	t.in.w.trace(t.job.traceLabel(), "claim at %s: verdict %d, holder %s", t.in.id, answer.Verdict, answer.Holder)
	switch {
	case answer.Verdict == claim.Granted, answer.Verdict == claim.InProgress && answer.Holder == t.job.spec.ID.String():
		if t.entry.MarkClaimed() == nil {
			t.startAttempt()
		}
	case answer.Verdict == claim.Mismatch:
		t.finish(request.Finish{Outcome: request.OutcomeNotRun, Status: 422, Step: "claim"})
	case answer.Verdict == claim.Finished && answer.Kept:
		t.finishWithoutSending(request.Finish{Outcome: request.OutcomeRan, Status: answer.Status, Body: answer.Body})
	case answer.Verdict == claim.Finished:
		t.finishWithoutSending(request.Finish{Outcome: request.OutcomeRan, Status: 409, Step: "claim"})
	default:
		t.inProgress = answer.Verdict == claim.InProgress
		t.runLater(claimRetry, t.claim)
	}
}

// finishWithoutSending finishes a request for which this instance has sent no attempt.
func (t *task) finishWithoutSending(finish request.Finish) {
	if t.entry.Finish(t.in.w.now, finish) == nil {
		t.done = true
		t.in.w.trace(t.job.traceLabel(), "finished without sending at %s: %s %d", t.in.id, finish.Outcome, finish.Status)
	}
}

// failClaim finishes a request whose claim was not decided before the deadline.
func (t *task) failClaim() {
	if t.inProgress {
		t.finishWithoutSending(request.Finish{Outcome: request.OutcomeUnknown, Status: 409, Step: "claim"})
		return
	}
	t.finishWithoutSending(request.Finish{Outcome: request.OutcomeNotRun, Status: 503, Step: "claim"})
	t.in.reportClaimEnd(claim.Finish{Key: t.key(), RequestID: t.job.spec.ID.String(), From: t.in.incarnation, Released: true})
}

// reportClaim reports the end of a finished request to the owner of its claim. It reports nothing if the outcome is
// unknown, or if the claim was refused because the key belongs to another body (status 422).
func (t *task) reportClaim(finish request.Finish) {
	if !t.job.spec.NeedsClaim || finish.Outcome == request.OutcomeUnknown || finish.Status == 422 {
		return
	}
	t.in.reportClaimEnd(claim.Finish{
		Key: t.key(), RequestID: t.job.spec.ID.String(), From: t.in.incarnation,
		Released: finish.Outcome == request.OutcomeNotRun, Status: finish.Status, Answer: finish.Body, Kept: true,
	})
}

// claimReportRetry is the time between two attempts to report the end of a claim.
const claimReportRetry = time.Second

// reportClaimEnd sends the end of a claim to the owner of its shard, and repeats it until it is stored.
func (in *instance) reportClaimEnd(finish claim.Finish) {
	in.atShard(finish.Key, func(to *instance, shard int, answer func(any)) {
		in.w.lastClaimRef++
		finish.Ref = in.w.lastClaimRef
		to.acks[finish.Ref] = answer
		to.step(control.ClaimFinished{Shard: shard, Finish: finish})
	}, func(result any) {
		in.w.trace(finish.RequestID, "end of claim reported from %s, released %v: %+v", in.id, finish.Released, result)
		if ack, found := result.(claim.Ack); !found || ack.Result == claim.Retry {
			in.w.after(claimReportRetry, func() { in.do(func() { in.reportClaimEnd(finish) }) })
		}
	})
}
