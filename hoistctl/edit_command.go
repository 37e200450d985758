package hoistctl

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"

	"knapweedhoist/catalog"
	"knapweedhoist/operator"
)

// editCommand creates or changes an item. It starts no editor: processes of
// this system start no others.
type editCommand struct {
	app  *app
	kind catalog.ItemKind
	changeOptions
	File string `long:"file" description:"JSON of the whole item; - reads the standard input"`
	Args struct {
		Name   string   `positional-arg-name:"name" required:"yes"`
		Fields []string `positional-arg-name:"field=value" description:"value as JSON, or as text; an empty value unsets the field"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	document, err := c.app.document()
	if err != nil {
		return err
	}
	before, err := operator.FindItem(document, c.kind, c.Args.Name)
	if err != nil && !errors.Is(err, operator.ErrNotFound) {
		return err
	}
	after, err := c.edited(before)
	if err != nil {
		return fail(Failure{
			Step: "hoistctl/edit", Peer: c.app.options.Address, Detail: err.Error(),
			Next: "give --file, or fields as name=value", Exit: ExitUsage,
		})
	}
	if !c.app.json() {
		printDiff(c.app.out, before, after)
	}
	body := operator.ChangeBody{BaseRevision: document.Revision, Item: after}
	return c.change(c.app, client, "PUT", itemPath(c.kind, c.Args.Name), body)
}

// edited returns the item with the changes of the command line.
func (c *editCommand) edited(before json.RawMessage) (json.RawMessage, error) {
	if (c.File == "") == (len(c.Args.Fields) == 0) {
		return nil, errors.New("either --file or fields are needed")
	}
	if c.File != "" {
		return readItem(c.File)
	}
	fields := fieldsOf(before)
	fields["name"], _ = json.Marshal(c.Args.Name)
	for _, assignment := range c.Args.Fields {
		field, value, ok := strings.Cut(assignment, "=")
		switch {
		case !ok || field == "":
			return nil, errors.New("not of the form name=value: " + assignment)
		case value == "":
			delete(fields, field)
		default:
			fields[field] = jsonOf(value)
		}
	}
	return json.Marshal(fields)
}

// jsonOf returns value when it is JSON, or else as a JSON string.
func jsonOf(value string) json.RawMessage {
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	text, _ := json.Marshal(value)
	return text
}

func readItem(file string) (json.RawMessage, error) {
	var content []byte
	var err error
	if file == "-" {
		content, err = io.ReadAll(os.Stdin)
	} else {
		content, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	if !json.Valid(content) {
		return nil, errors.New(file + " is not JSON")
	}
	return content, nil
}
