package testutil

import (
	"time"

	"pgregory.net/rapid"
)

// DrawFaults draws the faults of one check.
func DrawFaults(t *rapid.T, maxDelayMs int, maxLate time.Duration) Faults {
	return Faults{
		MinDelay: time.Millisecond, MaxDelay: time.Duration(rapid.IntRange(2, maxDelayMs).Draw(t, "delay_ms")) * time.Millisecond,
		LoseReply: rapid.Float64Range(0, 0.3).Draw(t, "lose"), Drop: rapid.Float64Range(0, 0.2).Draw(t, "drop"),
		Late: rapid.Float64Range(0, 0.2).Draw(t, "late"), MaxLate: maxLate,
		Throttle: rapid.Float64Range(0, 0.1).Draw(t, "throttle"),
	}
}
