// Package daemon is the command line of the entry daemon.
package daemon

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit statuses of the daemon.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Main runs the command in args and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("knapweedhoist", flags.HelpFlag|flags.PassDoubleDash)
	serve := &serveCommand{stderr: stderr}
	check := &checkCommand{stdout: stdout}
	mustAdd(parser, "serve", "Run an entry instance until SIGTERM or SIGINT", serve)
	mustAdd(parser, "check-config", "Check a settings file", check)
	mustAdd(parser, "version", "Print the version", &versionCommand{stdout: stdout})
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
	var settingsFault *settingsError
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &settingsFault):
		_, _ = fmt.Fprintln(stderr, err)
		return ExitSettings
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailure
	}
}
