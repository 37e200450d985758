package claim

// Event is a change of this instance's ownership of the shard. An ownership that ends by SetOwner emits no Event.
type Event uint8

// Events.
const (
	// TookOver means that this instance has become the owner of the shard's log.
	TookOver Event = iota + 1
	// SteppedDown means that this instance lost the ownership, because another instance wrote to the log.
	SteppedDown
)
