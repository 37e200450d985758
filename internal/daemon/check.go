package daemon

import (
	"fmt"
	"io"
)

type checkCommand struct {
	configFlag
	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, err := c.load(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.stdout, "%s: ok\n", c.Config)
	return err
}
