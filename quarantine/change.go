package quarantine

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	// Imposed means that a quarantine began, Lifted that it ended with an answer to the key, and Expired that it ended since no
	// request with the key arrived any more.
	Imposed ChangeKind = iota + 1
	Lifted
	Expired
	// Suspended means that instances try the key in turn after a crash while they are cautious, see Guard.ExtendCaution.
	Suspended
)

// String returns the text for the log.
func (k ChangeKind) String() string {
	switch k {
	case Imposed:
		return "requests quarantined"
	case Lifted:
		return "quarantine lifted"
	case Suspended:
		return "requests suspended"
	default:
		return "quarantine expired"
	}
}

// Change is the beginning or the end of a quarantine at this instance.
type Change struct {
	Kind ChangeKind
	Key  Key
	// Crashes is the number of crashes that led to the quarantine, 0 if another instance decided it.
	Crashes int
	Epoch   int
}
