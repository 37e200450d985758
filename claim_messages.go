package knapweedhoist

import (
	"time"

	"knapweedhoist/claim"
	"knapweedhoist/wire"
)

func askMessage(shard int, ask claim.Request) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Shard: uint32(shard), KeyHash: ask.Key[:], BodyHash: ask.Body[:], RequestId: ask.RequestID,
		RetentionMs: ask.Retention.Milliseconds(), RemainingMs: time.Until(ask.Deadline).Milliseconds(),
	}
}

// peerClaimTimeout bounds how long a shard works on a peer's ask; the peer asks again.
const peerClaimTimeout = 5 * time.Second

func claimDeadline(remainingMs int64) time.Time {
	return time.Now().Add(min(peerClaimTimeout, time.Duration(remainingMs)*time.Millisecond))
}

// askFromMessage reads a peer's ask; from is the authenticated sender.
func askFromMessage(from string, message *wire.ClaimRequest) claim.Request {
	ask := claim.Request{
		RequestID: message.GetRequestId(), From: from, Deadline: claimDeadline(message.GetRemainingMs()),
		Retention: time.Duration(message.GetRetentionMs()) * time.Millisecond,
	}
	copy(ask.Key[:], message.GetKeyHash())
	copy(ask.Body[:], message.GetBodyHash())
	return ask
}

var verdictMessages = map[claim.Verdict]wire.ClaimVerdict{
	claim.Granted:     wire.ClaimVerdict_CLAIM_VERDICT_GRANTED,
	claim.InProgress:  wire.ClaimVerdict_CLAIM_VERDICT_IN_PROGRESS,
	claim.Finished:    wire.ClaimVerdict_CLAIM_VERDICT_DONE,
	claim.Mismatch:    wire.ClaimVerdict_CLAIM_VERDICT_MISMATCH,
	claim.NotOwner:    wire.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER,
	claim.Unavailable: wire.ClaimVerdict_CLAIM_VERDICT_UNAVAILABLE,
}

func claimReply(answer claim.Answer) *wire.ClaimReply {
	return &wire.ClaimReply{
		Verdict: verdictMessages[answer.Verdict], Holder: answer.Holder, Status: int32(answer.Status),
		Answer: answer.Body, ContentType: answer.ContentType, AnswerKept: answer.Kept,
	}
}

// answerFromMessage reads an owner's reply; one without a known verdict counts as unavailable.
func answerFromMessage(message *wire.ClaimReply) claim.Answer {
	answer := claim.Answer{
		Verdict: claim.Unavailable, Holder: message.GetHolder(), Status: int(message.GetStatus()),
		Body: message.GetAnswer(), ContentType: message.GetContentType(), Kept: message.GetAnswerKept(),
	}
	for verdict, known := range verdictMessages {
		if known == message.GetVerdict() {
			answer.Verdict = verdict
		}
	}
	return answer
}

func finishMessage(shard int, finish claim.Finish) *wire.ClaimFinish {
	return &wire.ClaimFinish{
		Shard: uint32(shard), KeyHash: finish.Key[:], RequestId: finish.RequestID, Released: finish.Released,
		Status: int32(finish.Status), Answer: finish.Answer, ContentType: finish.ContentType, AnswerKept: finish.Kept,
	}
}

func finishFromMessage(from string, message *wire.ClaimFinish) claim.Finish {
	finish := claim.Finish{
		RequestID: message.GetRequestId(), From: from, Released: message.GetReleased(), Status: int(message.GetStatus()),
		ContentType: message.GetContentType(), Answer: message.GetAnswer(), Kept: message.GetAnswerKept(),
	}
	copy(finish.Key[:], message.GetKeyHash())
	return finish
}
