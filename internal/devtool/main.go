// Package devtool implements the commands of hoistdev, which run and measure
// entry instances against stand-ins of external systems on loopback addresses.
package devtool

import (
	"io"

	"knapweedhoist/internal/commandline"
)

// Main runs the command in args and returns the exit status of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	return commandline.Run("hoistdev", []commandline.Command{
		{
			Name: "up", Description: "Run a sample deployment until it is interrupted",
			Data: &upCommand{stdout: stdout, stderr: stderr},
		},
		{
			Name: "demo", Description: "Run the main use cases on a sample deployment and check the outcomes",
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
			Name: "load", Description: "Send load to entry daemons and measure the CPU, memory and control traffic of each process",
			Data: &loadCommand{stdout: stdout},
		},
		{
			Name: "bench", Description: "Run benchmarks of policies",
			Data: &benchCommand{Policy: benchPolicyCommand{stdout: stdout}},
		},
		{Name: "plot", Description: "Draw columns of a measurement table as an SVG file", Data: &plotCommand{}},
	}, args, stdout, stderr)
}
