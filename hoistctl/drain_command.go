package hoistctl

import (
	"time"

	"knapweedhoist/operator"
)

// drainCommand starts a planned stop.
type drainCommand struct {
	app  *app
	Args struct {
		Instance string `positional-arg-name:"instance" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. The drain goes to the instance itself,
// whose address comes from the status of the instance at --address.
func (c *drainCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	var status operator.Status
	if err := client.call("GET", "/operator/v1/status", nil, &status); err != nil {
		return err
	}
	address := addressOf(status, c.Args.Instance)
	if address == "" {
		return fail(Failure{
			Step: "hoistctl/drain", Peer: client.address, Detail: "no live instance " + c.Args.Instance + " with an operator address",
			Next: "run hoistctl status for the names", Exit: ExitNotFound,
		})
	}
	var answer map[string]bool
	if err := client.at(address).call("POST", "/operator/v1/drain", nil, &answer); err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(answer)
	}
	c.app.printf("%s is draining\n", c.Args.Instance)
	return nil
}

// addressOf returns the address of the incarnation heard last.
func addressOf(status operator.Status, instance string) string {
	address, heard := "", time.Time{}
	for _, i := range status.Instances {
		if i.ID == instance && i.State != "dead" && !i.LastHeard.Before(heard) {
			address, heard = i.OperatorAddress, i.LastHeard
		}
	}
	return address
}
