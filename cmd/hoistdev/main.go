// Command hoistdev is the command line for trying and testing the system with
// stand-ins for the external systems.
package main

import (
	"os"

	"knapweedhoist/internal/devtool"
)

func main() {
	os.Exit(devtool.Main(os.Args[1:], os.Stdout, os.Stderr))
}
