package standin

// PlatformStats counts the calls of an object API.
type PlatformStats struct {
	Gets, Puts, Deletes, Lists, Watches int64
	// Conflicts are writes whose condition did not hold.
	Conflicts int64
	// Throttled are calls refused over the rate.
	Throttled int64
	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int
	Objects        int
}
