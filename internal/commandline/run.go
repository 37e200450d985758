// Package commandline runs the commands of a program and maps their errors to
// exit statuses. The programs of this module share it.
package commandline

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit statuses of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means that the arguments or the settings are invalid and nothing was started.
	ExitUsage = 2
)

// UsageError is an error in the arguments or settings that was found before anything was started.
type UsageError struct {
	Err error
}

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *UsageError) Unwrap() error { return e.Err }

// Command is a top-level command of a program.
type Command struct {
	Name        string
	Description string
	// Data is a pointer to a struct with the flags. Unless it only groups subcommands, it implements flags.Commander.
	Data any
}

// Run parses args, runs the selected command and returns the exit status. Help goes to stdout, errors go to stderr.
func Run(program string, commands []Command, args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range commands {
		if _, err := parser.AddCommand(command.Name, command.Description, command.Description, command.Data); err != nil {
			panic(err) // the definition of the command is invalid
		}
	}
	_, err := parser.ParseArgs(args)
	return exitStatus(err, stdout, stderr)
}

func exitStatus(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var syntax *flags.Error
	var usage *UsageError
	switch {
	case errors.As(err, &syntax) && syntax.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, syntax.Message)
		return ExitOK
	case errors.As(err, &syntax), errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailure
	}
}
