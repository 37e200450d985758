package daemon

import (
	"fmt"
	"io"
	"runtime"
)

// Version is the release version that the version command prints.
const Version = "0.1.0"

type versionCommand struct {
	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.stdout, "knapweedhoist %s (%s)\n", Version, runtime.Version())
	return err
}
