package settings

import "fmt"

// Error describes the first error found in a settings file.
type Error struct {
	File string
	// Line is the line number, starting at 1; 0 if the error has no position in the file.
	Line int
	// Field is the path of the field, for example listen.callers; empty if the error concerns no single field.
	Field string
	// Message describes the error and the allowed values.
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", e.File, e.Line, e.Field, e.Message)
}
