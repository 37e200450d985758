package objectapi

import "time"

// Op is an operation of the object API.
type Op uint8

// Operations of the object API.
const (
	OpGet Op = iota + 1
	OpPut
	OpDelete
	OpList
	OpWatch
)

// String returns the operation's name for logs and errors.
func (o Op) String() string {
	switch o {
	case OpGet:
		return "get"
	case OpPut:
		return "put"
	case OpDelete:
		return "delete"
	case OpList:
		return "list"
	case OpWatch:
		return "watch"
	default:
		return "unknown"
	}
}

// Condition restricts a put or delete. The zero value is unconditional.
type Condition struct {
	// IfAbsent accepts the write only when the object does not exist.
	IfAbsent bool
	// IfVersion, when not zero, accepts the write only at this version.
	IfVersion Version
}

// Request is one call of the object API.
type Request struct {
	Op   Op
	Kind Kind
	// Name is the object's name; for OpList it is a name prefix.
	Name      string
	Value     []byte
	Condition Condition
	// After and Limit page through OpList, in order of names. A Limit of 0 means no limit.
	After string
	Limit int
	// Stale allows a read to be answered with data that is seconds old, at less cost.
	Stale bool
	// From and Wait apply to OpWatch: events after version From, waiting at most Wait for the first one.
	From Version
	Wait time.Duration
}

// Get returns a read of one object.
func Get(kind Kind, name string) Request {
	return Request{Op: OpGet, Kind: kind, Name: name}
}

// Create returns a write that succeeds only when the object does not exist.
func Create(kind Kind, name string, value []byte) Request {
	return Request{Op: OpPut, Kind: kind, Name: name, Value: value, Condition: Condition{IfAbsent: true}}
}

// Update returns a write that succeeds only at the given version.
func Update(kind Kind, name string, at Version, value []byte) Request {
	return Request{Op: OpPut, Kind: kind, Name: name, Value: value, Condition: Condition{IfVersion: at}}
}
