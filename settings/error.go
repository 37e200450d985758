package settings

import "fmt"

// Error is the first fault found in a settings file.
type Error struct {
	File string
	// Line counts from 1; 0 when the fault has no place in the file.
	Line int
	// Field is the path of the field, for example listen.callers.
	Field string
	// Message says what is wrong and what is allowed.
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", e.File, e.Line, e.Field, e.Message)
}
