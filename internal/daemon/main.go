// Package daemon implements the command line of the entry daemon, knapweedhoist.
package daemon

import (
	"io"

	"knapweedhoist/internal/commandline"
)

// Main runs the command in args and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	return commandline.Run("knapweedhoist", []commandline.Command{
		{Name: "serve", Description: "Run an entry instance until SIGTERM or SIGINT", Data: &serveCommand{stderr: stderr}},
		{Name: "entry", Description: "Run an entry instance on the users' platform until SIGTERM or SIGINT", Data: &entryCommand{stdout: stdout}},
		{Name: "check-config", Description: "Check a settings file", Data: &checkCommand{stdout: stdout}},
		{Name: "version", Description: "Print the version", Data: &versionCommand{stdout: stdout}},
	}, args, stdout, stderr)
}
