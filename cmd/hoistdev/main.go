// Command hoistdev tries and tests the system with stand-ins.
package main

import (
	"os"

	"knapweedhoist/internal/devtool"
)

func main() {
	os.Exit(devtool.Main(os.Args[1:], os.Stdout, os.Stderr))
}
