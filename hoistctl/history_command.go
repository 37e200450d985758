package hoistctl

import (
	"strings"
	"time"

	"knapweedhoist/catalog"
)

// historyCommand lists the latest changes of the items of a kind. For presets it
// also lists the changes of the preset in force.
type historyCommand struct {
	app  *app
	kind catalog.ItemKind
	Args struct {
		Name string `positional-arg-name:"name"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	document, err := c.app.readDocument()
	if err != nil {
		return err
	}
	changes := []catalog.Change{}
	for _, change := range document.Changes {
		if c.matches(change) {
			changes = append(changes, change)
		}
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(changes)
	}
	for _, change := range changes {
		at := time.UnixMilli(change.AtMs).UTC().Format(time.DateTime)
		c.app.printf("revision %d, %s UTC, %s: %s %s\n", change.Revision, at, change.Operator, change.Kind, change.Name)
		if change.Kind == catalog.ItemInForce {
			c.app.printf("  %s -> %s\n", unquoted(change.Before), unquoted(change.After))
		} else {
			printDiff(c.app.out, change.Before, change.After)
		}
	}
	return nil
}

func (c *historyCommand) matches(change catalog.Change) bool {
	kindMatches := change.Kind == c.kind || c.kind == catalog.ItemPreset && change.Kind == catalog.ItemInForce
	return kindMatches && (c.Args.Name == "" || c.Args.Name == change.Name)
}

// unquoted returns a JSON string without its quotes; an empty value is shown as
// unset.
func unquoted(value []byte) string {
	if len(value) == 0 {
		return "(unset)"
	}
	return strings.Trim(string(value), `"`)
}
