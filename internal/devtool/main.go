// Package devtool is the command line for trying and testing the system with
// stand-ins of the outside systems on the loopback addresses.
package devtool

import (
	"io"

	"knapweedhoist/internal/commandline"
)

// Main runs the command in args and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	return commandline.Run("hoistdev", []commandline.Command{
		{
			Name: "up", Description: "Run a sample deployment until it is interrupted",
			Data: &upCommand{stdout: stdout, stderr: stderr},
		},
		{
			Name: "demo", Description: "Show the main job on a sample deployment and check the outcomes",
			Data: &demoCommand{stdout: stdout, stderr: stderr},
		},
		{
			Name: "platform", Description: "Run entry instances on stand-ins of the users' platform and check the outcomes",
			Data: &platformCommand{stdout: stdout, stderr: stderr},
		},
		{
			Name: "standins", Description: "Run stand-ins and write settings files for entry daemons",
			Data: &standinsCommand{stdout: stdout, stderr: stderr},
		},
		{
			Name: "load", Description: "Send load to entry daemons and measure what each process costs",
			Data: &loadCommand{stdout: stdout},
		},
		{
			Name: "bench", Description: "Measure policies",
			Data: &benchCommand{Policy: benchPolicyCommand{stdout: stdout}},
		},
		{Name: "plot", Description: "Draw columns of a measurement table as an SVG file", Data: &plotCommand{}},
	}, args, stdout, stderr)
}
