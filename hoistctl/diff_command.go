package hoistctl

import (
	"encoding/json"

	"knapweedhoist/catalog"
)

// diffCommand compares an item with another one or with a file.
type diffCommand struct {
	app  *app
	kind catalog.ItemKind
	File string `long:"file" description:"compare with the JSON in this file"`
	Args struct {
		Name  string `positional-arg-name:"name" required:"yes"`
		Other string `positional-arg-name:"other"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	if (c.File == "") == (c.Args.Other == "") {
		return fail(Failure{
			Step: "hoistctl/diff", Peer: c.app.options.Address, Exit: ExitUsage,
			Detail: "either another name or --file is needed", Next: "run hoistctl " + string(c.kind) + " diff --help",
		})
	}
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	first, err := getItem(client, c.kind, c.Args.Name)
	if err != nil {
		return err
	}
	second, err := c.second(client)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(map[string]json.RawMessage{"before": first.Item, "after": second})
	}
	printDiff(c.app.out, first.Item, second)
	return nil
}

func (c *diffCommand) second(client *client) (json.RawMessage, error) {
	if c.File != "" {
		return readItem(c.File)
	}
	item, err := getItem(client, c.kind, c.Args.Other)
	return item.Item, err
}
