package knapweedhoist

import "github.com/samber/oops"

// stepError wraps err with the step and the peer of the failure. It returns nil
// for a nil err.
func stepError(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return oops.With("step", step, "peer", peer).Wrap(err)
}
