package hoistctl

import (
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"knapweedhoist/operator"
)

// changeOptions are the flags of every command that changes the configuration.
type changeOptions struct {
	Base        uint64        `long:"base" description:"revision that the change is based on; default: the current revision"`
	OperationID string        `long:"operation-id" description:"id of the change; to repeat a change that got no answer, give its id"`
	Wait        bool          `long:"wait" description:"wait until the change is in force everywhere"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"10s" description:"timeout of the wait, at most 30s"`
}

// waitMargin is how much longer the timeout of the HTTP call is than --wait-timeout,
// so that the server ends a wait before the call times out.
const waitMargin = 2 * time.Second

// changeOutput is the JSON output of a change.
type changeOutput struct {
	Revision    uint64                   `json:"revision"`
	OperationID string                   `json:"operation_id"`
	InForce     *operator.RevisionStatus `json:"in_force,omitempty"`
}

// sendChange sends a change and prints its revision. With --wait it then waits
// until the revision is in force at all live instances, or WaitTimeout has passed.
func (o *changeOptions) sendChange(a *app, c *client, method, path string, body operator.ChangeBody) error {
	if o.Base != 0 {
		body.BaseRevision = o.Base
	}
	if o.OperationID == "" {
		o.OperationID = ulid.Make().String()
	}
	body.OperationID = o.OperationID
	var result operator.ChangeResult
	if err := c.call(method, path, body, &result); err != nil {
		return o.addOperationID(err, c.address)
	}
	output := changeOutput{Revision: result.Revision, OperationID: o.OperationID}
	if !a.jsonOutput() {
		a.printf("revision %d stored\n", result.Revision)
	}
	var waitErr error
	if o.Wait {
		output.InForce, waitErr = o.waitInForce(a, c, result.Revision)
	}
	if a.jsonOutput() {
		if err := a.printJSON(output); err != nil {
			return err
		}
	}
	return waitErr
}

// addOperationID adds the operation id to the next action of the failure if the
// change may have been stored.
func (o *changeOptions) addOperationID(err error, peer string) error {
	failure := failureOf(err, peer)
	if failure.Exit == ExitUnavailable {
		failure.Next += fmt.Sprintf(" (--operation-id %s)", o.OperationID)
	}
	return newFailure(*failure)
}

// waitInForce waits until the revision is in force at all live instances and
// prints which ones are behind. It fails with ExitNotInForce if the revision is
// not in force everywhere at the timeout.
func (o *changeOptions) waitInForce(a *app, c *client, revision uint64) (*operator.RevisionStatus, error) {
	path := fmt.Sprintf("/operator/v1/revision?wait=%d&timeout_ms=%d", revision, o.WaitTimeout.Milliseconds())
	var status operator.RevisionStatus
	if err := c.callWithTimeout(o.WaitTimeout+waitMargin, fasthttp.MethodGet, path, nil, &status); err != nil {
		return nil, err
	}
	if !a.jsonOutput() {
		printRevision(a, revision, status)
	}
	if !status.Everywhere {
		return &status, newFailure(Failure{
			Step: "hoistctl/wait", Peer: c.address, Exit: ExitNotInForce,
			Detail: fmt.Sprintf("revision %d is stored but not in force at %d live instances", revision, len(status.Behind)),
			Next:   "run hoistctl status; a data centre that is cut off applies the revision when it is reachable again",
		})
	}
	return &status, nil
}

func printRevision(a *app, revision uint64, status operator.RevisionStatus) {
	if status.Everywhere {
		a.printf("revision %d in force at all live instances\n", revision)
	}
	for _, i := range status.Behind {
		a.printf("behind: %s in %s has revision %d\n", i.ID, i.Datacentre, i.Revision)
	}
	for _, i := range status.Unreachable {
		a.printf("not reachable: %s in %s (%s)\n", i.ID, i.Datacentre, i.State)
	}
}
