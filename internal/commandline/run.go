// Package commandline is what the command lines of the programs share.
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
	// ExitUsage: the arguments or the settings are wrong; nothing was started.
	ExitUsage = 2
)

// UsageError is an error that was found before anything started.
type UsageError struct {
	Err error
}

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// Command is one command of a program.
type Command struct {
	Name        string
	Description string
	// Data has the flags and, unless it only groups commands, an Execute method.
	Data any
}

// Run parses args, runs the chosen command and returns the exit status.
func Run(program string, commands []Command, args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range commands {
		if _, err := parser.AddCommand(command.Name, command.Description, command.Description, command.Data); err != nil {
			panic(err) // a fault of the program's own definitions
		}
	}
	_, err := parser.ParseArgs(args)
	return status(err, stdout, stderr)
}

func status(err error, stdout, stderr io.Writer) int {
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
