package fleetstate

// Source identifies one process start of one instance.
type Source struct {
	Instance string
	Boot     uint64
}
