package hoistctl

import (
	"strings"
	"time"

	"knapweedhoist/catalog"
)

// historyCommand lists the last changes; for presets also which one was in force.
type historyCommand struct {
	app  *app
	kind catalog.ItemKind
	Args struct {
		Name string `positional-arg-name:"name"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	document, err := c.app.document()
	if err != nil {
		return err
	}
	changes := []catalog.Change{}
	for _, change := range document.Changes {
		if c.selects(change) {
			changes = append(changes, change)
		}
	}
	if c.app.json() {
		return c.app.printJSON(changes)
	}
	for _, change := range changes {
		at := time.UnixMilli(change.AtMs).UTC().Format(time.DateTime)
		c.app.printf("revision %d, %s UTC, %s: %s %s\n", change.Revision, at, change.Operator, change.Kind, change.Name)
		if change.Kind == catalog.ItemInForce {
			c.app.printf("  %s -> %s\n", text(change.Before), text(change.After))
		} else {
			printDiff(c.app.out, change.Before, change.After)
		}
	}
	return nil
}

func (c *historyCommand) selects(change catalog.Change) bool {
	kind := change.Kind == c.kind || c.kind == catalog.ItemPreset && change.Kind == catalog.ItemInForce
	return kind && (c.Args.Name == "" || c.Args.Name == change.Name)
}

func text(value []byte) string {
	if len(value) == 0 {
		return "(unset)"
	}
	return strings.Trim(string(value), `"`)
}
