package standin

import "knapweedhoist/engine"

// Attempt is the record of one attempt that an engine accepted.
type Attempt struct {
	ID       string
	Number   int
	Priority engine.Priority
	Model    string
	// FirstIndex is the index of the first new token; Tokens is the number of new tokens.
	FirstIndex int
	Tokens     int
	// Outcome is "running", "finished", "cancelled" or "broken". It is "running" also while the attempt is queued.
	Outcome string
	Usage   engine.Usage
	// ResumeMismatch reports whether the tokens in Resume differ from the start of the answer.
	ResumeMismatch bool
}

// Outcomes of an attempt.
const (
	OutcomeRunning   = "running"
	OutcomeFinished  = "finished"
	OutcomeCancelled = "cancelled"
	OutcomeBroken    = "broken"
)

// retainedAttempts is the number of newest attempt records that an engine always retains.
const retainedAttempts = 1 << 16

// updateRecord copies the token count, usage and outcome of the sequence to its Attempt.
func (s *sequence) updateRecord() {
	s.record.Tokens = s.generated - s.record.FirstIndex
	s.record.Usage = s.usage
	switch s.state {
	case sequenceFinished:
		s.record.Outcome = OutcomeFinished
	case sequenceCancelled:
		s.record.Outcome = OutcomeCancelled
	case sequenceBroken:
		s.record.Outcome = OutcomeBroken
	default:
		s.record.Outcome = OutcomeRunning
	}
}

func newAttempt(s *sequence) *Attempt {
	return &Attempt{
		ID: s.request.ID, Number: s.request.Attempt, Priority: s.request.Priority, Model: s.request.Model,
		FirstIndex: s.generated, Outcome: OutcomeRunning, ResumeMismatch: s.resumeMismatch(),
	}
}
