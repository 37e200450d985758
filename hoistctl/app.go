package hoistctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

// app holds the connection options and the output streams of one invocation.
type app struct {
	options     options
	out, errOut io.Writer
}

// Main parses args, runs the command that they name, and returns the exit
// status of the process; see the package comment for the values.
func Main(args []string) int {
	a := &app{out: os.Stdout, errOut: os.Stderr}
	return a.run(args)
}

func (a *app) run(args []string) int {
	parser := flags.NewNamedParser("hoistctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operates a knapweedhoist fleet through the operator API of any entry instance."
	if err := a.register(parser); err != nil {
		_, _ = fmt.Fprintln(a.errOut, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return a.reportError(err)
}

// register adds the connection options and all commands to the parser.
func (a *app) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Connection", "", &a.options); err != nil {
		return err
	}
	for _, add := range []func(*flags.Parser) error{a.addItemGroups, a.addFleetCommands, a.addExplainCommand} {
		if err := add(parser); err != nil {
			return err
		}
	}
	return nil
}

// reportError prints err, if any, as text or JSON and returns the exit status.
// Errors of the argument parser are always text.
// Help texts go to the standard output and exit with status 0.
func (a *app) reportError(err error) int {
	var usageErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageErr) && usageErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(a.out, usageErr.Message)
		return ExitOK
	case errors.As(err, &usageErr):
		_, _ = fmt.Fprintf(a.errOut, "hoistctl: %s\nnext: run hoistctl --help\n", usageErr.Message)
		return ExitUsage
	}
	failure := failureOf(err, a.options.Address)
	if a.jsonOutput() {
		_ = a.writeJSON(a.errOut, failure)
	} else {
		failure.print(a.errOut)
	}
	return failure.Exit
}

func (a *app) jsonOutput() bool { return a.options.Output == "json" }

func (a *app) printJSON(value any) error { return a.writeJSON(a.out, value) }

func (a *app) writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...)
}

// printTable prints rows with aligned columns.
func (a *app) printTable(rows [][]string) error {
	writer := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(writer, "\t")
			}
			_, _ = fmt.Fprint(writer, cell)
		}
		_, _ = fmt.Fprintln(writer)
	}
	return writer.Flush()
}
