package endpointlimit

// Change is a change of the limit of one endpoint.
type Change struct {
	// Process identifies the process of the endpoint, see quarantine.ProcessKey.
	Process uint64
	// PerSecond is the limit in requests a second, 0 if Ended is set.
	PerSecond float32
	// Ended is set if the endpoint has no limit any more.
	Ended bool
}
