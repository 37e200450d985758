package standin

import "time"

// FaultKind selects what a fault does to a call or an event.
type FaultKind string

// Kinds of faults.
const (
	// FaultLostReply executes the call, then closes the connection without a reply. An engine stream
	// sends its events, but the connection closes before the end of the stream is written.
	FaultLostReply FaultKind = "lost_reply"
	// FaultLateWrite closes the connection without a reply and executes the call after Delay,
	// which must be positive. Only a Platform applies it.
	FaultLateWrite FaultKind = "late_write"
	// FaultDelay waits for Delay before it executes the call.
	FaultDelay FaultKind = "delay"
	// FaultOutage returns the system's unavailable error; the call is not executed.
	FaultOutage FaultKind = "outage"
	// FaultSilence keeps the connection open but sends nothing more on it; new
	// connections work. The call is not executed. For an engine stream with
	// AfterTokens, the call is executed and sending stops after that many tokens.
	FaultSilence FaultKind = "silence"
	// FaultRefuse returns the system's refusal; the call is not executed.
	FaultRefuse FaultKind = "refuse"
	// FaultLag makes the load report, cache events, notices or list that the call reads older by Delay.
	// A Service delays its answer by Delay instead; other calls ignore the fault.
	FaultLag FaultKind = "lag"
	// FaultGap omits an event: a cache event of an engine or a notice of the cloud.
	FaultGap FaultKind = "gap"
	// FaultBreak closes the connection of an engine stream after AfterTokens tokens.
	FaultBreak FaultKind = "break"
)

// Fault is one scripted fault. A zero Op, Match, Skip or Count does not restrict it.
type Fault struct {
	Kind FaultKind
	// Op restricts the fault to one operation, such as "put" or "stream".
	Op string
	// Match restricts the fault to the calls for which it returns true.
	Match func(Call) bool
	// Skip is the number of matching calls that the fault leaves unaffected at first.
	Skip int
	// Count is the number of calls that the fault affects; 0 means all until it is removed.
	Count int
	// Delay applies to FaultDelay, FaultLateWrite and FaultLag.
	Delay time.Duration
	// RetryAfter is the retry delay in the FaultRefuse reply of a Platform, Engine or Service.
	RetryAfter time.Duration
	// AfterTokens applies to FaultSilence and FaultBreak of an engine stream. It counts the tokens of the
	// attempt, without those of earlier attempts.
	AfterTokens int
}

// Call describes a call, or an event that a stand-in is about to publish.
type Call struct {
	Op string
	// Name is the object's name or the name prefix of a list, the id of the request, KV handle or instance,
	// the path, the name in an engine order, or the zone. It is "" for a call that refers to none of them.
	Name string
	// Attempt is the attempt number of an engine call; 0 for other calls.
	Attempt int
	// Body is the object value of a put or the body of a service call; nil for other calls.
	Body []byte
}

func (f Fault) matches(call Call) bool {
	if f.Op != "" && f.Op != call.Op {
		return false
	}
	return f.Match == nil || f.Match(call)
}
