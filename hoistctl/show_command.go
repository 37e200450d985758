package hoistctl

import (
	"maps"
	"net/url"
	"slices"

	"knapweedhoist/catalog"
	"knapweedhoist/operator"
)

// showCommand shows one item.
type showCommand struct {
	app  *app
	kind catalog.ItemKind
	Args nameArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	item, err := getItem(client, c.kind, c.Args.Name)
	if err != nil {
		return err
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(item)
	}
	c.app.printf("%s %s, revision %d\n", c.kind, c.Args.Name, item.Revision)
	fields := fieldsOf(item.Item)
	var rows [][]string
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		rows = append(rows, []string{"  " + field, string(fields[field])})
	}
	return c.app.printTable(rows)
}

func itemPath(kind catalog.ItemKind, name string) string {
	return "/operator/v1/config/" + string(kind) + "/" + url.PathEscape(name)
}

func getItem(c *client, kind catalog.ItemKind, name string) (operator.Item, error) {
	var item operator.Item
	return item, c.call("GET", itemPath(kind, name), nil, &item)
}
