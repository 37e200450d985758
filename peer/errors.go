package peer

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
)

// Sentinel errors. Each error of Client.Call wraps ErrNotSent, ErrUncertain or a
// *RemoteError. Client.Stream can also return the error of its yield function.
var (
	// ErrNotSent means that no part of the call was sent, so it has not taken effect.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrUncertain means that the call was sent, possibly only in part, and no complete and valid answer was received, so it
	// may have taken effect.
	ErrUncertain = errors.New("peer: call may have taken effect")
	// ErrSessionTimeout means that the session was closed because no frame was received for 6 s.
	ErrSessionTimeout = errors.New("peer: session timed out")
	// ErrAuthentication means that the other side does not have the fleet's key, or that a frame was altered or replayed.
	ErrAuthentication = errors.New("peer: authentication failed")
	// ErrFrameTooLarge means that the payload of a frame is larger than Config.MaxFrameBytes.
	ErrFrameTooLarge = errors.New("peer: frame too large")
	// ErrProtocol means that a frame is malformed or not expected in the current state.
	ErrProtocol = errors.New("peer: protocol error")
	// ErrClosed means that the client, server or session is closed.
	ErrClosed = errors.New("peer: closed")
)

// MayHaveTakenEffect reports whether the call that returned err may have run
// at the peer although no complete and valid answer was received.
func MayHaveTakenEffect(err error) bool {
	return errors.Is(err, ErrUncertain)
}

// stepError adds the step and the peer's address to err.
func stepError(step, address string, err error) error {
	return oops.With("step", step, "peer", address).Wrap(err)
}

func withDetail(sentinel error, detail string) error {
	return fmt.Errorf("%w: %s", sentinel, detail)
}
