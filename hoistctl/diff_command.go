package hoistctl

import (
	"encoding/json"

	"knapweedhoist/catalog"
)

// diffCommand compares an item with another one or with a file.
type diffCommand struct {
	app  *app
	kind catalog.ItemKind
	File string `long:"file" description:"file with the JSON of the item to compare with; - for standard input"`
	Args struct {
		Name  string `positional-arg-name:"name" required:"yes"`
		Other string `positional-arg-name:"other"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	if (c.File == "") == (c.Args.Other == "") {
		return newFailure(Failure{
			Step: "hoistctl/diff", Peer: c.app.options.Address, Exit: ExitUsage,
			Detail: "give either another name or --file, not both", Next: "run hoistctl " + string(c.kind) + " diff --help",
		})
	}
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	item, err := getItem(client, c.kind, c.Args.Name)
	if err != nil {
		return err
	}
	other, err := c.otherItem(client)
	if err != nil {
		return err
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(map[string]json.RawMessage{"before": item.Item, "after": other})
	}
	printDiff(c.app.out, item.Item, other)
	return nil
}

// otherItem returns the item to compare with, from --file or by its name.
func (c *diffCommand) otherItem(client *client) (json.RawMessage, error) {
	if c.File != "" {
		return readItem(c.File)
	}
	item, err := getItem(client, c.kind, c.Args.Other)
	return item.Item, err
}
