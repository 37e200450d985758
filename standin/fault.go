package standin

import "time"

// FaultKind is what goes wrong.
type FaultKind string

// Kinds of faults.
const (
	// FaultLostReply runs the call, then closes the connection without a reply.
	FaultLostReply FaultKind = "lost_reply"
	// FaultLateWrite closes the connection without a reply and runs the call Delay later.
	FaultLateWrite FaultKind = "late_write"
	// FaultDelay waits for Delay before the call runs.
	FaultDelay FaultKind = "delay"
	// FaultOutage answers that the system is unavailable; the call does not run.
	FaultOutage FaultKind = "outage"
	// FaultSilence leaves the connection open and sends nothing more on it; new
	// connections work. The call does not run. For an engine stream with
	// AfterTokens the call runs, and the silence begins after that many tokens.
	FaultSilence FaultKind = "silence"
	// FaultRefuse refuses the call with RetryAfter; the call does not run.
	FaultRefuse FaultKind = "refuse"
	// FaultLag makes what the call reads older by Delay.
	FaultLag FaultKind = "lag"
	// FaultGap leaves out an event: a cache event of an engine, a notice of the cloud.
	FaultGap FaultKind = "gap"
	// FaultBreak closes the connection of an engine stream after AfterTokens tokens.
	FaultBreak FaultKind = "break"
)

// Fault is one scripted fault. Zero fields do not restrict it.
type Fault struct {
	Kind FaultKind
	// Op restricts the fault to one operation, such as "put" or "stream".
	Op string
	// Match restricts the fault to the calls for which it returns true.
	Match func(Call) bool
	// Skip is the number of matching calls that pass before the first one fails.
	Skip int
	// Count is the number of calls that fail; 0 means all until the fault is removed.
	Count int
	// Delay applies to FaultDelay, FaultLateWrite and FaultLag.
	Delay time.Duration
	// RetryAfter is the hint that a refusal carries.
	RetryAfter time.Duration
	// AfterTokens applies to FaultSilence and FaultBreak of an engine stream.
	AfterTokens int
}

// Call describes a call, or an event that a stand-in is about to publish.
type Call struct {
	Op string
	// Name is the object's name, the request's id or the path.
	Name string
	// Attempt is set for calls of an engine.
	Attempt int
	Body    []byte
}

func (f Fault) matches(call Call) bool {
	if f.Op != "" && f.Op != call.Op {
		return false
	}
	return f.Match == nil || f.Match(call)
}
