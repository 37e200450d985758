// Package devtool is the command line for trying and testing the system with
// stand-ins of the outside systems on the loopback addresses.
package devtool

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit statuses of hoistdev.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Main runs the command in args and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("hoistdev", flags.HelpFlag|flags.PassDoubleDash)
	mustAdd(parser, "up", "Run a sample deployment until it is interrupted", &upCommand{stdout: stdout, stderr: stderr})
	mustAdd(parser, "demo", "Show the main job on a sample deployment and check the outcomes", &demoCommand{stdout: stdout, stderr: stderr})
	mustAdd(parser, "load", "Send load to entry daemons and measure what each process costs", &loadCommand{stdout: stdout})
	mustAdd(parser, "bench", "Measure policies", &benchCommand{Policy: benchPolicyCommand{stdout: stdout}})
	mustAdd(parser, "plot", "Draw columns of a measurement table as an SVG file", &plotCommand{})
	mustAdd(parser, "standins", "Run stand-ins and write settings files for entry daemons", &standinsCommand{stdout: stdout, stderr: stderr})
	_, err := parser.ParseArgs(args)
	return report(err, stdout, stderr)
}

func mustAdd(parser *flags.Parser, name, description string, command any) {
	if _, err := parser.AddCommand(name, description, description, command); err != nil {
		panic(err)
	}
}

func report(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailure
	}
}
