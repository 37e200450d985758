package hoistctl

import (
	"cmp"

	"github.com/jessevdk/go-flags"

	"knapweedhoist/catalog"
)

// nameArgument is the positional argument of commands on one item.
type nameArgument struct {
	Name string `positional-arg-name:"name" required:"yes"`
}

// addItemGroups adds one command group each for presets, services and teams.
func (a *app) addItemGroups(parser *flags.Parser) error {
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

// addItemCommands adds the commands on items of one kind to their group; only
// presets have the set command.
func (a *app) addItemCommands(group *flags.Command, kind catalog.ItemKind) error {
	_, listErr := group.AddCommand("list", "Lists all items of this kind", "", &listCommand{app: a, kind: kind})
	_, showErr := group.AddCommand("show", "Shows the fields of an item", "", &showCommand{app: a, kind: kind})
	_, editErr := group.AddCommand("edit", "Creates or changes an item",
		"Sets the given fields, or replaces the item with the JSON in --file.", &editCommand{app: a, kind: kind})
	_, deleteErr := group.AddCommand("delete", "Deletes an item", "", &deleteCommand{app: a, kind: kind})
	_, diffErr := group.AddCommand("diff", "Compares an item with another one or with a file", "", &diffCommand{app: a, kind: kind})
	_, historyErr := group.AddCommand("history", "Lists the latest changes", "", &historyCommand{app: a, kind: kind})
	err := cmp.Or(listErr, showErr, editErr, deleteErr, diffErr, historyErr)
	if err == nil && kind == catalog.ItemPreset {
		_, err = group.AddCommand("set", "Puts a preset in force", "", &setCommand{app: a})
	}
	return err
}

// readDocument fetches the shared configuration from the instance at --address.
func (a *app) readDocument() (catalog.Document, error) {
	var document catalog.Document
	c, err := newClient(a.options)
	if err != nil {
		return document, err
	}
	return document, c.call("GET", "/operator/v1/config", nil, &document)
}
