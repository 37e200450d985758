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
	// IfAbsent accepts the write only if the object does not exist.
	IfAbsent bool
	// IfVersion, if not zero, accepts the write only if the object has this version.
	IfVersion Version
}

// Request is one call of the object API.
type Request struct {
	Op   Op
	Kind Kind
	// Name is the name of the object; for OpList it is a prefix of names.
	Name      string
	Value     []byte
	Condition Condition
	// After and Limit select a page of OpList, in the order of names: at most Limit objects with names after After. A
	// Limit of 0 means no limit.
	After string
	Limit int
	// AllowStale allows the store to answer a read with data that is seconds old, which costs less.
	AllowStale bool
	// From and Wait apply to OpWatch, which returns the events after From and waits at most Wait for the first one. The store
	// itself does not compare From.Era with its own. A copy of an earlier era answers neither a watch nor a list.
	From Position
	Wait time.Duration
}

// Get returns a read of one object.
func Get(kind Kind, name string) Request {
	return Request{Op: OpGet, Kind: kind, Name: name}
}

// Create returns a write that succeeds only if the object does not exist.
func Create(kind Kind, name string, value []byte) Request {
	return Request{Op: OpPut, Kind: kind, Name: name, Value: value, Condition: Condition{IfAbsent: true}}
}

// Update returns a write that succeeds only if the object has the given version.
func Update(kind Kind, name string, at Version, value []byte) Request {
	return Request{Op: OpPut, Kind: kind, Name: name, Value: value, Condition: Condition{IfVersion: at}}
}
