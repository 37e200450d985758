package objectapi

import "fmt"

// MaxNameBytes bounds an object's name.
const MaxNameBytes = 512

// Validate reports a malformed request as an error that wraps ErrInvalid.
func (r Request) Validate() error {
	switch {
	case r.Op < OpGet || r.Op > OpWatch:
		return fmt.Errorf("%w: operation %d", ErrInvalid, r.Op)
	case r.Kind == "" || len(r.Kind) > MaxNameBytes:
		return fmt.Errorf("%w: kind of %d bytes", ErrInvalid, len(r.Kind))
	case len(r.Name) > MaxNameBytes || r.Name == "" && r.Op <= OpDelete:
		return fmt.Errorf("%w: name of %d bytes", ErrInvalid, len(r.Name))
	case len(r.Value) > MaxValueBytes:
		return fmt.Errorf("%w: value of %d bytes, at most %d", ErrInvalid, len(r.Value), MaxValueBytes)
	case r.Condition.IfAbsent && (r.Op == OpDelete || r.Condition.IfVersion != 0):
		return fmt.Errorf("%w: condition", ErrInvalid)
	default:
		return nil
	}
}
