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

// app is one run of the command line.
type app struct {
	options  options
	out, err io.Writer
}

// Main runs the command line and returns the exit status.
func Main(args []string) int {
	a := &app{out: os.Stdout, err: os.Stderr}
	return a.run(args)
}

func (a *app) run(args []string) int {
	parser := flags.NewNamedParser("hoistctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operates a knapweedhoist fleet through the operator API of any entry instance."
	if err := a.register(parser); err != nil {
		_, _ = fmt.Fprintln(a.err, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return a.exit(err)
}

// register adds options and commands.
func (a *app) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Connection", "", &a.options); err != nil {
		return err
	}
	for _, add := range []func(*flags.Parser) error{a.addItems, a.addViews, a.addExplain} {
		if err := add(parser); err != nil {
			return err
		}
	}
	return nil
}

// exit prints the error, if any, and returns the exit status.
func (a *app) exit(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(a.out, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(a.err, "hoistctl: %s\nnext: run hoistctl --help\n", usage.Message)
		return ExitUsage
	}
	failure := failureOf(err, a.options.Address)
	if a.json() {
		_ = a.printJSONTo(a.err, failure)
	} else {
		failure.print(a.err)
	}
	return failure.Exit
}

func (a *app) json() bool { return a.options.Output == "json" }

func (a *app) printJSON(value any) error { return a.printJSONTo(a.out, value) }

func (a *app) printJSONTo(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...)
}

// table prints rows with aligned columns.
func (a *app) table(rows [][]string) error {
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
