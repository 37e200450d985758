package claim

// Event is a change of ownership at this instance.
type Event uint8

// Events.
const (
	// TookOver: this instance owns the shard's log.
	TookOver Event = iota + 1
	// SteppedDown: another instance wrote to the log.
	SteppedDown
)
