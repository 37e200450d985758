// Package clock provides the decision clock, which times all decisions that other
// instances rely on. It includes the time for which the machine was suspended,
// which the monotonic clock of package time leaves out, and is not affected by
// adjustments of the wall clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the date of the machine's start on the decision clock. It keeps the
// clock's times far from the zero time.
var epoch = time.Unix(1<<30, 0)

// Now returns the current time of the decision clock: an arbitrary fixed date plus
// the time since the machine started.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return epoch.Add(time.Since(processStart)) // the kernel does not support CLOCK_BOOTTIME
	}
	return epoch.Add(time.Duration(spec.Nano()))
}

// processStart is the start of the clock if CLOCK_BOOTTIME is not supported.
var processStart = time.Now()
