package testutil

import (
	"time"

	"pgregory.net/rapid"
)

// DrawFaults draws the fault probabilities and delays for one rapid check. Delays are from 1 ms to at most maxDelayMs
// milliseconds; late writes take effect up to maxLate after their reply.
func DrawFaults(t *rapid.T, maxDelayMs int, maxLate time.Duration) Faults {
	return Faults{
		MinDelay: time.Millisecond, MaxDelay: time.Duration(rapid.IntRange(2, maxDelayMs).Draw(t, "delay_ms")) * time.Millisecond,
		LoseReply: rapid.Float64Range(0, 0.3).Draw(t, "lose"), Drop: rapid.Float64Range(0, 0.2).Draw(t, "drop"),
		Late: rapid.Float64Range(0, 0.2).Draw(t, "late"), MaxLate: maxLate,
		Throttle: rapid.Float64Range(0, 0.1).Draw(t, "throttle"),
	}
}
