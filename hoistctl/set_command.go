package hoistctl

import "knapweedhoist/operator"

// setCommand puts a preset in force.
type setCommand struct {
	app *app
	changeOptions
	Args nameArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	document, err := c.app.readDocument()
	if err != nil {
		return err
	}
	if !c.app.jsonOutput() {
		c.app.printf("in force: %s -> %s\n", document.InForce, c.Args.Name)
	}
	body := operator.ChangeBody{BaseRevision: document.Revision, Preset: c.Args.Name}
	return c.sendChange(c.app, client, "PUT", "/operator/v1/in-force", body)
}
