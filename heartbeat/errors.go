package heartbeat

import "github.com/samber/oops"

// stepError wraps err with the step and the address of the peer.
func stepError(step, peer string, err error) error {
	return oops.With("step", step, "peer", peer).Wrap(err)
}
