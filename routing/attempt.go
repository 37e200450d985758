package routing

import "time"

// Attempt tracks one attempt that was sent. It belongs to the goroutine that runs the attempt and must not be copied
// after RecordSent returned it; the Table keeps no reference.
type Attempt struct {
	state  *endpointState
	stats  *groupStats
	sentAt time.Time
	// lastTokenAt is the time of the last token, or sentAt before the first one.
	lastTokenAt time.Time
	// prefillTokens and decodeTokens are the attempt's part of endpointState.ownLoad.
	prefillTokens int64
	decodeTokens  int64
	// laterTokens counts the tokens after the first.
	laterTokens int
	short       bool
	// waitEnded is set at the first token, or at the end of an attempt that had none.
	waitEnded bool
	finished  bool
	// predicted is the predicted time to the first token; uncorrected is the same without groupStats.longCorrection.
	predicted   time.Duration
	uncorrected time.Duration
}
