package objectapi

import "fmt"

// MaxNameBytes bounds the name and the kind of an object.
const MaxNameBytes = 512

// Validate returns an error that wraps ErrInvalid if the request is malformed.
func (r Request) Validate() error {
	switch {
	case r.Op < OpGet || r.Op > OpWatch:
		return fmt.Errorf("%w: unknown operation %d", ErrInvalid, r.Op)
	case r.Kind == "" || len(r.Kind) > MaxNameBytes:
		return fmt.Errorf("%w: kind is empty or too long: %d bytes", ErrInvalid, len(r.Kind))
	case len(r.Name) > MaxNameBytes || r.Name == "" && r.Op <= OpDelete:
		return fmt.Errorf("%w: name is empty or too long: %d bytes", ErrInvalid, len(r.Name))
	case len(r.Value) > MaxValueBytes:
		return fmt.Errorf("%w: value of %d bytes, the limit is %d", ErrInvalid, len(r.Value), MaxValueBytes)
	case r.Condition.IfAbsent && (r.Op == OpDelete || r.Condition.IfVersion != 0):
		return fmt.Errorf("%w: IfAbsent on a delete or together with IfVersion", ErrInvalid)
	default:
		return nil
	}
}
