// Command hoistctl is the command-line client of operators.
package main

import (
	"os"

	"knapweedhoist/hoistctl"
)

func main() {
	os.Exit(hoistctl.Main(os.Args[1:]))
}
