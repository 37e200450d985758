package hoistctl

// Exit statuses of the process; the package comment describes each one.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitNotFound    = 3
	ExitConflict    = 4
	ExitInvalid     = 5
	ExitUnavailable = 6
	ExitCredential  = 7
	ExitNotInForce  = 8
)
