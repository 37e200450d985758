package handover

import "knapweedhoist/wire"

// Codes of the wire.Failure in a peer's answer.
const (
	codeRefused = "unavailable"
	codeGap     = "not_found"
	codeOwned   = "not_owner"
)

// FailureStep is the step in the failures with which a Target answers. A failure with another step says nothing about the
// call, which the Target may have processed.
const FailureStep = "handover"

// copyAnswer encodes a result as the answer to a handover call.
func copyAnswer(result CopyResult) *wire.Answer {
	code := ""
	switch result {
	case CopyAccepted:
		return &wire.Answer{Body: &wire.Answer_Ack{Ack: &wire.Ack{}}}
	case CopyGap:
		code = codeGap
	case CopyOwned:
		code = codeOwned
	default:
		code = codeRefused
	}
	return &wire.Answer{Failure: &wire.Failure{Code: code, Step: FailureStep}}
}

// copyResult decodes the answer to a handover call. An error, or no answer, is
// CopyUnanswered; an unknown failure code is CopyRefused.
func copyResult(answer *wire.Answer, err error) CopyResult {
	if err != nil || answer == nil {
		return CopyUnanswered
	}
	if answer.GetFailure() == nil {
		return CopyAccepted
	}
	switch answer.GetFailure().GetCode() {
	case codeGap:
		return CopyGap
	case codeOwned:
		return CopyOwned
	default:
		return CopyRefused
	}
}
