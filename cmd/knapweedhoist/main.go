// Command knapweedhoist is the entry daemon.
package main

import (
	"os"

	"knapweedhoist/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
