// Package contain keeps a panic in one unit of work, such as a request or a message, from ending the process.
package contain

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// maxStackBytes bounds the stack trace in a log line.
const maxStackBytes = 4096

// Run calls work and returns the value of a panic in it as an error, which it logs with the step and the stack.
func Run(lg *slog.Logger, step string, work func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = Error(lg, step, value)
		}
	}()
	work()
	return nil
}

// Error logs the value of a recovered panic with the step and the stack, and returns it as an error.
func Error(lg *slog.Logger, step string, value any) error {
	stack := debug.Stack()
	lg.Error("panic", "step", step, "value", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	return fmt.Errorf("panic in step %s: %v", step, value)
}
