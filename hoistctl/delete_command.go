package hoistctl

import (
	"knapweedhoist/catalog"
	"knapweedhoist/operator"
)

// deleteCommand deletes an item.
type deleteCommand struct {
	app  *app
	kind catalog.ItemKind
	changeOptions
	Args nameArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	item, err := getItem(client, c.kind, c.Args.Name)
	if err != nil {
		return err
	}
	body := operator.ChangeBody{BaseRevision: item.Revision}
	return c.sendChange(c.app, client, "DELETE", itemPath(c.kind, c.Args.Name), body)
}
