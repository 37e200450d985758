package quarantine

import (
	"time"

	"knapweedhoist/internal/defaults"
)

// Config holds the limits of a Guard. Zero fields take their defaults.
type Config struct {
	// MinCrashes is the number of crashes at which a key must have been in progress, without an answer since the first of
	// them, before it is quarantined. Default 3.
	MinCrashes int
	// MinCrashesAnswered replaces MinCrashes for a key that was answered within EvidenceTTL. Default 4.
	MinCrashesAnswered int
	// MinLostTogether is the number of endpoints lost within LostTogether at which no key is suspended. Default 3.
	MinLostTogether int
	// CautionTime is how long a Guard is cautious, see ExtendCaution. Default 5 s: 3 s after the end of a disruption the bound on
	// requests that crash endpoints applies again, and a crash before then is known with its answers 1.5 s later.
	CautionTime time.Duration
	// SuspensionTime is how long after a crash within the CautionTime a key without an answer is suspended at most. Default 10 s.
	SuspensionTime time.Duration
	// SuspendedTrialWait is the shortest time between two trials of a suspended key at one instance. Default 2 s: an endpoint has
	// crashed by then, or the answer has made progress.
	SuspendedTrialWait time.Duration
	// DecisionDelay is the time between the crash that reaches the limit and the quarantine, in which an answer to the key
	// can become known. Default 800 ms: a first token, its progress and three reports.
	DecisionDelay time.Duration
	// EvidenceTTL is how long crashes and answers are remembered. Default 2 min.
	EvidenceTTL time.Duration
	// AnsweredRequestTTL replaces EvidenceTTL for answers to requests. Default 10 s: longer than other instances need to learn of a
	// crash and its answers, since most requests come once and would fill the memory.
	AnsweredRequestTTL time.Duration
	// LostTogether is the time within which the crashes of several endpoints count once: a common cause may have ended them while
	// requests with the key were in progress there. Default 100 ms: the time within which instances notice such a loss.
	LostTogether time.Duration
	// ExplainedTTL replaces EvidenceTTL for the crashes that a quarantined key explains. Default 10 s: longer than other
	// instances need to learn the cause of a crash that they have seen too.
	ExplainedTTL time.Duration
	// ReportTime is how long an instance reports a crash after it has learnt of it or of further keys. Others keep it for
	// EvidenceTTL. Default 5 s: several reports on each of the ways between instances.
	ReportTime time.Duration
	// TrialWait is the time from the start of a quarantine to the first trial. It doubles with each further quarantine of the
	// key, up to maxTrialDoublings times. Default 1 min.
	TrialWait time.Duration
	// Retention is how long a quarantine is kept after the last request that it refused. Default 10 min.
	Retention time.Duration
}

// maxTrialDoublings bounds the doubling of Config.TrialWait: four doublings give 16 min.
const maxTrialDoublings = 4

func (c Config) withDefaults() Config {
	defaults.Set(&c.MinCrashes, 3)
	defaults.Set(&c.MinCrashesAnswered, 4)
	defaults.Set(&c.MinLostTogether, 3)
	defaults.Set(&c.CautionTime, 5*time.Second)
	defaults.Set(&c.SuspensionTime, 10*time.Second)
	defaults.Set(&c.SuspendedTrialWait, 2*time.Second)
	defaults.Set(&c.DecisionDelay, 800*time.Millisecond)
	defaults.Set(&c.EvidenceTTL, 2*time.Minute)
	defaults.Set(&c.AnsweredRequestTTL, 10*time.Second)
	defaults.Set(&c.LostTogether, 100*time.Millisecond)
	defaults.Set(&c.ExplainedTTL, 10*time.Second)
	defaults.Set(&c.ReportTime, 5*time.Second)
	defaults.Set(&c.TrialWait, time.Minute)
	defaults.Set(&c.Retention, 10*time.Minute)
	return c
}
