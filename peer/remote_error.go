package peer

import (
	"errors"
	"fmt"

	"knapweedhoist/wire"
)

// Codes of a RemoteError.
const (
	CodeNotFound    = "not_found"
	CodeNotOwner    = "not_owner"
	CodeLeaving     = "leaving"
	CodeForbidden   = "forbidden"
	CodeUnavailable = "unavailable"
	CodeInvalid     = "invalid"
)

// RemoteError is the failure with which the Handler or the Server of a peer
// answered a call. A Handler returns one to choose the code; its other errors
// are sent as CodeUnavailable.
type RemoteError struct {
	Code    string
	Step    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s at %s: %s", e.Code, e.Step, e.Message)
}

func failureFromError(err error) *wire.Failure {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return &wire.Failure{Code: remote.Code, Step: remote.Step, Message: remote.Message}
	}
	return &wire.Failure{Code: CodeUnavailable, Step: "peer/handle", Message: err.Error()}
}

func errorFromFailure(failure *wire.Failure) error {
	return &RemoteError{Code: failure.GetCode(), Step: failure.GetStep(), Message: failure.GetMessage()}
}
