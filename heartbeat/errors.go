package heartbeat

import "github.com/samber/oops"

// stepError wraps err with the step and the address to which it sent or bound, "" if err concerns no address.
func stepError(step, address string, err error) error {
	return oops.With("step", step, "peer", address).Wrap(err)
}
