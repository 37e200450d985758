package streamorigin

// Connection is how an instance is connected to the others.
type Connection struct {
	// Complete is set if it is connected to all others.
	Complete bool
	// StoreReached is set if any other instance states that it reached the store a moment ago.
	StoreReached bool
	// Instances is the number of instances, this one included.
	Instances int
}
