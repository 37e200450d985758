package knapweedhoist

import (
	"time"

	"knapweedhoist/claim"
	"knapweedhoist/wire"
)

func claimRequestMessage(shard int, claimRequest claim.Request) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Shard: uint32(shard), KeyHash: claimRequest.Key[:], BodyHash: claimRequest.Body[:], RequestId: claimRequest.RequestID,
		RetentionMs: claimRequest.Retention.Milliseconds(), RemainingMs: time.Until(claimRequest.Deadline).Milliseconds(),
	}
}

// peerClaimTimeout limits how long a shard keeps a peer's claim request that it
// cannot grant yet. After that it answers that the claim is unavailable, and the
// peer repeats the request.
const peerClaimTimeout = 5 * time.Second

func claimDeadline(remainingMs int64) time.Time {
	return time.Now().Add(min(peerClaimTimeout, time.Duration(remainingMs)*time.Millisecond))
}

// claimRequestFromMessage decodes a peer's claim request; from is the
// authenticated sender.
func claimRequestFromMessage(from string, message *wire.ClaimRequest) claim.Request {
	claimRequest := claim.Request{
		RequestID: message.GetRequestId(), From: from, Deadline: claimDeadline(message.GetRemainingMs()),
		Retention: time.Duration(message.GetRetentionMs()) * time.Millisecond,
	}
	copy(claimRequest.Key[:], message.GetKeyHash())
	copy(claimRequest.Body[:], message.GetBodyHash())
	return claimRequest
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

// answerFromMessage decodes a shard owner's reply. A reply with an unknown
// verdict is treated as claim.Unavailable.
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
