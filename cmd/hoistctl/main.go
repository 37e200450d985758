// Command hoistctl is the operators' command line.
package main

import (
	"os"

	"knapweedhoist/hoistctl"
)

func main() {
	os.Exit(hoistctl.Main(os.Args[1:]))
}
