package hoistctl

import (
	"cmp"

	"github.com/jessevdk/go-flags"

	"knapweedhoist/catalog"
)

// name is the positional argument of commands on one item.
type name struct {
	Name string `positional-arg-name:"name" required:"yes"`
}

// addItems adds the commands on presets, services and teams.
func (a *app) addItems(parser *flags.Parser) error {
	for _, kind := range []catalog.ItemKind{catalog.ItemPreset, catalog.ItemService, catalog.ItemTeam} {
		group, err := parser.AddCommand(string(kind), "Shows and changes "+string(kind)+"s", "", &struct{}{})
		if err != nil {
			return err
		}
		if err := a.addItemCommands(group, kind); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) addItemCommands(group *flags.Command, kind catalog.ItemKind) error {
	_, list := group.AddCommand("list", "Lists all", "", &listCommand{app: a, kind: kind})
	_, show := group.AddCommand("show", "Shows one with its fields", "", &showCommand{app: a, kind: kind})
	_, edit := group.AddCommand("edit", "Creates or changes one",
		"Sets the given fields, or replaces the item by the JSON in --file.", &editCommand{app: a, kind: kind})
	_, remove := group.AddCommand("delete", "Deletes one", "", &deleteCommand{app: a, kind: kind})
	_, diff := group.AddCommand("diff", "Compares two, or one with a file", "", &diffCommand{app: a, kind: kind})
	_, history := group.AddCommand("history", "Lists the last changes", "", &historyCommand{app: a, kind: kind})
	err := cmp.Or(list, show, edit, remove, diff, history)
	if err == nil && kind == catalog.ItemPreset {
		_, err = group.AddCommand("set", "Puts a preset in force", "", &setCommand{app: a})
	}
	return err
}

// document reads the shared configuration.
func (a *app) document() (catalog.Document, error) {
	var document catalog.Document
	c, err := newClient(a.options)
	if err != nil {
		return document, err
	}
	return document, c.call("GET", "/operator/v1/config", nil, &document)
}
