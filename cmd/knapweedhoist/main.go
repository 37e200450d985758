// Command knapweedhoist is the daemon that an entry instance runs.
package main

import (
	"os"

	"knapweedhoist/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
