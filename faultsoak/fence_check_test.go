package faultsoak

import (
	"fmt"
	"strconv"

	"knapweedhoist/platform/platformtest"
)

// fenceCheck checks the fencing tokens of the calls about one subject.
type fenceCheck struct {
	holders map[uint64]string
	highest uint64
}

func newFenceCheck() *fenceCheck { return &fenceCheck{holders: make(map[uint64]string)} }

// add returns the violation of the next call, "" for none: a fencing token that decreases, or one that two holders use.
func (c *fenceCheck) add(call platformtest.CloudCall) (violation string) {
	token, err := strconv.ParseUint(call.FencingToken, 10, 64)
	switch {
	case err != nil:
		violation = "fencing token is not a number: " + call.FencingToken
	case token < c.highest:
		violation = fmt.Sprintf("fencing token %d after %d", token, c.highest)
	case c.holders[token] != "" && c.holders[token] != call.Holder:
		violation = fmt.Sprintf("fencing token %d used by %s and %s", token, c.holders[token], call.Holder)
	}
	c.highest = max(c.highest, token)
	c.holders[token] = call.Holder
	return violation
}
