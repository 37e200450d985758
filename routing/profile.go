package routing

import "time"

// Profile is the nominal speed of a machine class, used for predictions; zero fields take their defaults. The
// detection of stragglers uses it only through the predicted first-token times that observed ones are compared with.
type Profile struct {
	// PrefillPerSecond is the prompt processing rate in tokens per second. Default 20000.
	PrefillPerSecond float64
	// StepBase is the part of the time of a decode step that does not depend on the batch. Default 8 ms.
	StepBase time.Duration
	// StepPerSequence is the extra time of a step for each sequence in the batch. Default 200 µs.
	StepPerSequence time.Duration
	// Slots is the largest number of sequences in a batch. Default 32.
	Slots int
}

// Defaults of a Profile.
const (
	defaultPrefillPerSecond = 20000
	defaultStepBase         = 8 * time.Millisecond
	defaultStepPerSequence  = 200 * time.Microsecond
	defaultSlots            = 32
)

// withDefaults returns the profile with defaults in place of fields that are not positive.
func (p Profile) withDefaults() Profile {
	if p.PrefillPerSecond <= 0 {
		p.PrefillPerSecond = defaultPrefillPerSecond
	}
	if p.StepBase <= 0 {
		p.StepBase = defaultStepBase
	}
	if p.StepPerSequence <= 0 {
		p.StepPerSequence = defaultStepPerSequence
	}
	if p.Slots <= 0 {
		p.Slots = defaultSlots
	}
	return p
}
