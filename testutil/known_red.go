package testutil

import "os"

// KnownRedVariable is the environment variable that, set to any value, makes tests run the cases that KNOWN-RED.txt lists.
const KnownRedVariable = "KNOWN_RED"

// RunsKnownRed reports whether the cases that KNOWN-RED.txt lists are run.
func RunsKnownRed() bool { return os.Getenv(KnownRedVariable) != "" }
