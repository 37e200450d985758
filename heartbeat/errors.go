package heartbeat

import "github.com/samber/oops"

// stepError wraps err with the step and the address that the step sends to or binds, "" if it has none.
func stepError(step, address string, err error) error {
	return oops.With("step", step, "peer", address).Wrap(err)
}
