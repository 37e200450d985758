package hoistctl

import (
	"time"

	"knapweedhoist/operator"
)

// drainCommand drains an entry instance for a planned stop.
type drainCommand struct {
	app  *app
	Args struct {
		Instance string `positional-arg-name:"instance" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. It reads the operator address of the named
// instance from the status of the instance at --address, and sends the drain to
// the named instance itself.
func (c *drainCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	var status operator.Status
	if err := client.call("GET", "/operator/v1/status", nil, &status); err != nil {
		return err
	}
	address := operatorAddress(status, c.Args.Instance)
	if address == "" {
		return newFailure(Failure{
			Step: "hoistctl/drain", Peer: client.address, Detail: "instance " + c.Args.Instance + " does not exist, is dead, or has no operator address",
			Next: "run hoistctl status for the names", Exit: ExitNotFound,
		})
	}
	var result map[string]bool
	if err := client.withAddress(address).call("POST", "/operator/v1/drain", nil, &result); err != nil {
		return err
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(result)
	}
	c.app.printf("%s is draining\n", c.Args.Instance)
	return nil
}

// operatorAddress returns the operator address of the instance's incarnation with
// the latest LastHeard, dead ones excluded, or "" if there is none.
func operatorAddress(status operator.Status, instance string) string {
	address, lastHeard := "", time.Time{}
	for _, i := range status.Instances {
		if i.ID == instance && i.State != "dead" && !i.LastHeard.Before(lastHeard) {
			address, lastHeard = i.OperatorAddress, i.LastHeard
		}
	}
	return address
}
