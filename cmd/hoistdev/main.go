// Command hoistdev is the command line for trying and testing the system with
// stand-ins of the outside systems.
package main

import (
	"os"

	"knapweedhoist/internal/devtool"
)

func main() {
	os.Exit(devtool.Main(os.Args[1:], os.Stdout, os.Stderr))
}
