package testutil

import (
	"flag"
	"os"
)

// Rapid fixes the seed and the number of checks of pgregory.net/rapid, so that
// the verdict of go test depends on seeds only. RAPID_CHECKS and RAPID_SEED
// override them for longer runs.
func Rapid(checks string) {
	set("rapid.seed", os.Getenv("RAPID_SEED"), "20261204")
	set("rapid.checks", os.Getenv("RAPID_CHECKS"), checks)
	set("rapid.nofailfile", "true", "true")
}

func set(name, value, standard string) {
	if value == "" {
		value = standard
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
