package entry

import "time"

const (
	// maxRequestGrace is the longest time for which a stopping instance still accepts requests. Later requests are refused,
	// since too little of the grace period is left for them: an engine under load takes several seconds to answer.
	maxRequestGrace = 2800 * time.Millisecond
	// maxConnectionGrace is the longest time for which a stopping instance still accepts connections: the platform checks
	// readiness every second and stops sending connections after two failed checks.
	maxConnectionGrace = 3500 * time.Millisecond
	// exitMargin is the time between the planned exit of the process and the end of the grace period.
	exitMargin = 300 * time.Millisecond
	// answerMargin is the time between the cut of the requests in progress and the exit, for writing their answers.
	answerMargin = 300 * time.Millisecond
	// marginPart is the part of a short grace period that exitMargin and answerMargin each take at most. Requests whose
	// endpoint is still at work may be cut in the last sixth of the grace period only.
	marginPart = 1.0 / 12
	// requestPart and connectionPart are the parts of a short grace period during which requests and connections are
	// accepted.
	requestPart, connectionPart = 0.4, 0.6
)

// stopPhases has the times of a planned stop, each from its start and none before the one above.
type stopPhases struct {
	// refuse is when the instance begins to refuse new requests.
	refuse time.Duration
	// close is when the listener and idle connections are closed.
	close time.Duration
	// cut is when the requests that are still in progress are ended.
	cut time.Duration
	// exit is when the process ends, whatever is in progress.
	exit time.Duration
}

// newStopPhases returns the phases of a stop whose process is killed after grace.
func newStopPhases(grace time.Duration) stopPhases {
	part := func(fraction float64, limit time.Duration) time.Duration {
		return min(time.Duration(fraction*float64(grace)), limit)
	}
	exit := grace - part(marginPart, exitMargin)
	return stopPhases{
		refuse: part(requestPart, maxRequestGrace), close: part(connectionPart, maxConnectionGrace),
		cut: exit - part(marginPart, answerMargin), exit: exit,
	}
}
