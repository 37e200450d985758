package hoistctl

import (
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/samber/oops"

	"knapweedhoist/explain"
)

// explainCommand reconstructs the course of one request from log files, without a
// call to any instance.
type explainCommand struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"id of the request" required:"1"`
		Files []string `positional-arg-name:"FILE" description:"log files of entry instances; default: standard input"`
	} `positional-args:"yes"`
}

func (a *app) addExplainCommand(parser *flags.Parser) error {
	_, err := parser.AddCommand("explain", "Shows the course of a request from log files",
		"Reads the JSON log lines of entry instances and shows the course of one request, and the newest "+
			"state that its instances logged before the request ended.", &explainCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	collector := explain.NewCollector(c.Args.ID)
	if len(c.Args.Files) == 0 {
		if err := collector.Read(os.Stdin); err != nil {
			return oops.With("step", "read standard input").Wrap(err)
		}
	}
	for _, name := range c.Args.Files {
		if err := readLog(collector, name); err != nil {
			return err
		}
	}
	history := collector.History()
	if c.app.jsonOutput() {
		return c.app.printJSON(history)
	}
	c.print(history)
	return nil
}

func readLog(collector *explain.Collector, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return oops.With("step", "read log").Wrap(err)
	}
	defer func() { _ = file.Close() }()
	return oops.With("step", "read log", "file", name).Wrap(collector.Read(file))
}

func (c *explainCommand) print(history explain.History) {
	c.app.printf("request %s: %s\n", history.ID, history.Verdict)
	if len(history.Lines) == 0 {
		return
	}
	c.app.printf("\nstate of its instances\n")
	for _, line := range history.Before {
		c.app.printf("  %s\n", line)
	}
	if len(history.Crashes) > 0 {
		c.app.printf("\ncrashes that the refusal rests on\n")
	}
	for _, line := range history.Crashes {
		c.app.printf("  %s\n", line)
	}
	c.app.printf("\ncourse\n")
	for _, line := range history.Lines {
		c.app.printf("  %s\n", line)
	}
}
