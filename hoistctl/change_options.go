package hoistctl

import (
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"knapweedhoist/operator"
)

// changeOptions apply to every command that changes the configuration.
type changeOptions struct {
	Base        uint64        `long:"base" description:"revision that the change is based on; default: the one read now"`
	OperationID string        `long:"operation-id" description:"id of the change; give that of an unanswered change to send it again"`
	Wait        bool          `long:"wait" description:"wait until the change is in force everywhere"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"10s" description:"longest wait, at most 30s"`
}

// waitMargin lets the server end a wait before the client gives up.
const waitMargin = 2 * time.Second

// changed is what a change prints as JSON.
type changed struct {
	Revision    uint64                   `json:"revision"`
	OperationID string                   `json:"operation_id"`
	InForce     *operator.RevisionStatus `json:"in_force,omitempty"`
}

// change sends a change, prints its revision, and waits when asked to.
func (o *changeOptions) change(a *app, c *client, method, path string, body operator.ChangeBody) error {
	if o.Base != 0 {
		body.BaseRevision = o.Base
	}
	if o.OperationID == "" {
		o.OperationID = ulid.Make().String()
	}
	body.OperationID = o.OperationID
	var result operator.ChangeResult
	if err := c.call(method, path, body, &result); err != nil {
		return o.explain(err, c.address)
	}
	done := changed{Revision: result.Revision, OperationID: o.OperationID}
	if !a.json() {
		a.printf("revision %d stored\n", result.Revision)
	}
	var waitErr error
	if o.Wait {
		done.InForce, waitErr = o.await(a, c, result.Revision)
	}
	if a.json() {
		if err := a.printJSON(done); err != nil {
			return err
		}
	}
	return waitErr
}

// explain adds the operation id when the change may have been stored.
func (o *changeOptions) explain(err error, peer string) error {
	failure := failureOf(err, peer)
	if failure.Exit == ExitUnavailable {
		failure.Next += fmt.Sprintf(" (--operation-id %s)", o.OperationID)
	}
	return fail(*failure)
}

func (o *changeOptions) await(a *app, c *client, revision uint64) (*operator.RevisionStatus, error) {
	path := fmt.Sprintf("/operator/v1/revision?wait=%d&timeout_ms=%d", revision, o.WaitTimeout.Milliseconds())
	var status operator.RevisionStatus
	if err := c.callWithin(o.WaitTimeout+waitMargin, fasthttp.MethodGet, path, nil, &status); err != nil {
		return nil, err
	}
	if !a.json() {
		printRevision(a, revision, status)
	}
	if !status.Everywhere {
		return &status, fail(Failure{
			Step: "hoistctl/wait", Peer: c.address, Exit: ExitNotInForce,
			Detail: fmt.Sprintf("revision %d is stored but not in force at %d live instances", revision, len(status.Behind)),
			Next:   "run hoistctl status; a data centre that is cut off follows when it is reachable",
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
