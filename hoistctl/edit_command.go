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

// editCommand creates or changes an item. It does not start an editor, because
// the processes of this system start no other processes.
type editCommand struct {
	app  *app
	kind catalog.ItemKind
	changeOptions
	File string `long:"file" description:"file with the JSON of the whole item; - for standard input"`
	Args struct {
		Name   string   `positional-arg-name:"name" required:"yes"`
		Fields []string `positional-arg-name:"field=value" description:"value as JSON or plain text; an empty value unsets the field"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	document, err := c.app.readDocument()
	if err != nil {
		return err
	}
	before, err := operator.FindItem(document, c.kind, c.Args.Name)
	if err != nil && !errors.Is(err, operator.ErrNotFound) {
		return err
	}
	after, err := c.editedItem(before)
	if err != nil {
		return newFailure(Failure{
			Step: "hoistctl/edit", Peer: c.app.options.Address, Detail: err.Error(),
			Next: "give --file, or fields as name=value", Exit: ExitUsage,
		})
	}
	if !c.app.jsonOutput() {
		printDiff(c.app.out, before, after)
	}
	body := operator.ChangeBody{BaseRevision: document.Revision, Item: after}
	return c.sendChange(c.app, client, "PUT", itemPath(c.kind, c.Args.Name), body)
}

// editedItem returns the item from --file, or before with the fields of the
// command line set or unset.
func (c *editCommand) editedItem(before json.RawMessage) (json.RawMessage, error) {
	if (c.File == "") == (len(c.Args.Fields) == 0) {
		return nil, errors.New("give either --file or fields, not both")
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
			return nil, errors.New("field is not of the form name=value: " + assignment)
		case value == "":
			delete(fields, field)
		default:
			fields[field] = jsonValue(value)
		}
	}
	return json.Marshal(fields)
}

// jsonValue returns value unchanged if it is valid JSON, and as a JSON string
// otherwise.
func jsonValue(value string) json.RawMessage {
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	text, _ := json.Marshal(value)
	return text
}

// readItem returns the JSON content of file, or of standard input if file is "-".
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
		return nil, errors.New(file + " is not valid JSON")
	}
	return content, nil
}
