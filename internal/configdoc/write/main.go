// Command write generates docs/configuration.md. Its paths are relative to
// internal/configdoc, which must be the working directory.
package main

import (
	"fmt"
	"os"

	"knapweedhoist/internal/configdoc"
)

func main() {
	page, err := configdoc.Page("../..")
	if err == nil {
		err = os.WriteFile("../../docs/configuration.md", []byte(page), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
