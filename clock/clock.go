// Package clock has the clock of decisions that other instances rely on. It
// counts the time in which the machine was suspended, which the monotonic clock
// of package time leaves out, and never jumps with the time of day.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// base keeps clock times far from the zero time.
var base = time.Unix(1<<30, 0)

// Now returns the time since the machine started, on an arbitrary date.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return base.Add(time.Since(started)) // the kernel lacks the clock
	}
	return base.Add(time.Duration(spec.Nano()))
}

var started = time.Now()
