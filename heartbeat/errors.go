package heartbeat

import "github.com/samber/oops"

// stepError adds the step and the peer's address to err.
func stepError(step, peer string, err error) error {
	return oops.With("step", step, "peer", peer).Wrap(err)
}
