package standin

// PlatformStats counts the calls of a Platform, except those of Apply.
type PlatformStats struct {
	// Gets to Watches count the executed calls, including those that returned an error such as ErrConflict.
	Gets, Puts, Deletes, Lists, Watches int64
	// Conflicts counts the writes whose condition did not hold.
	Conflicts int64
	// Throttled counts the calls rejected by a rate limit.
	Throttled int64
	// WaitingWatches is the number of watches that currently wait for a change.
	WaitingWatches int
	// Objects is the number of stored objects.
	Objects int
}
