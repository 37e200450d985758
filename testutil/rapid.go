package testutil

import (
	"flag"
	"os"
)

// ConfigureRapid sets the seed and the number of checks of pgregory.net/rapid and
// turns off its failure files, so that the result of go test depends on the seeds only. The
// environment variables RAPID_CHECKS and RAPID_SEED override both for longer runs.
func ConfigureRapid(checks string) {
	setFlag("rapid.seed", os.Getenv("RAPID_SEED"), "20261204")
	setFlag("rapid.checks", os.Getenv("RAPID_CHECKS"), checks)
	setFlag("rapid.nofailfile", "true", "true")
}

func setFlag(name, value, defaultValue string) {
	if value == "" {
		value = defaultValue
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
