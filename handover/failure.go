package handover

import "knapweedhoist/wire"

// Codes of wire.Failure with which a peer answers a copy.
const (
	codeRefused = "unavailable"
	codeGap     = "not_found"
	codeOwned   = "not_owner"
)

// answerOf returns a peer's answer to a copy.
func answerOf(result CopyError) *wire.Answer {
	code := ""
	switch result {
	case CopyTaken:
		return &wire.Answer{Body: &wire.Answer_Ack{Ack: &wire.Ack{}}}
	case CopyGap:
		code = codeGap
	case CopyOwned:
		code = codeOwned
	default:
		code = codeRefused
	}
	return &wire.Answer{Failure: &wire.Failure{Code: code, Step: "handover"}}
}

// copyError reads a peer's answer to a copy.
func copyError(answer *wire.Answer, err error) CopyError {
	if err != nil || answer == nil {
		return CopyLost
	}
	if answer.GetFailure() == nil {
		return CopyTaken
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
