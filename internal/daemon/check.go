package daemon

import (
	"fmt"
	"io"
)

type checkCommand struct {
	configFlag
	Entry  bool `long:"entry" description:"Check the file as settings of an entry instance on a platform"`
	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.stdout, "%s: ok\n", c.Config)
	return err
}

func (c *checkCommand) check() error {
	if !c.Entry {
		_, err := c.load()
		return err
	}
	_, _, err := loadEntry(c.Config)
	return err
}
