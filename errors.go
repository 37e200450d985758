package knapweedhoist

import "github.com/samber/oops"

// stepError adds the step and the peer at which err arose; a nil err stays nil.
func stepError(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return oops.With("step", step, "peer", peer).Wrap(err)
}
