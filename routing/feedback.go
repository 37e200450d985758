package routing

import (
	"time"

	"knapweedhoist/invariant"
)

// RecordSent records that the work was sent to the chosen endpoint. The caller passes the returned Attempt to
// RecordFirstToken, RecordToken and RecordFinished.
func (t *Table) RecordSent(now time.Time, choice Choice, work Work) Attempt {
	s := choice.state
	t.checkLeaving(now, s)
	s.history.record(now, &s.ownLoad)
	attempt := Attempt{
		state:         s,
		stats:         choice.stats,
		sentAt:        now,
		lastTokenAt:   now,
		prefillTokens: int64(max(0, work.PromptTokens-choice.CachedTokens)),
		decodeTokens:  int64(max(1, work.DecodeTokens)),
		short:         work.Short,
		predicted:     choice.TimeToFirstToken,
		uncorrected:   choice.uncorrected,
	}
	s.ownLoad.running.Add(1)
	s.ownLoad.prefill.Add(attempt.prefillTokens)
	s.ownLoad.decode.Add(attempt.decodeTokens)
	if attempt.short {
		s.ownShortPrefill.Add(attempt.prefillTokens)
		s.ownShortWaiting.Add(1)
	} else {
		s.ownLongRunning.Add(1)
	}
	if t.cfg.AffinityWeight > 0 {
		t.recordPrefixes(s, work.Prefixes)
	}
	return attempt
}

// LeaveGrace is the time after which a leaving endpoint must get no new work. The soak tests check the same limit as P5.
const LeaveGrace = 3 * time.Second

// checkLeaving reports a violation if the endpoint has been leaving for longer than LeaveGrace.
func (t *Table) checkLeaving(now time.Time, s *endpointState) {
	if leavingFor := s.leavingFor(now); leavingFor > LeaveGrace {
		t.checker.Violated(invariant.Violation{
			Name: "routing/sent_to_leaving", Step: "sent", Peer: s.id, Detail: "leaving for " + leavingFor.String(),
		})
	}
}

// recordPrefixes adds the work's prefixes to the prefix index without waiting for the endpoint's cache events, which
// are late.
func (t *Table) recordPrefixes(s *endpointState, prefixes []Prefix) {
	for _, p := range prefixes[:min(len(prefixes), MaxPrefixes)] {
		t.prefixes.add(p, s)
	}
}

// minPredictedFirstToken is the lower bound of the prediction that an observed first-token time is divided by: below
// it, scheduling noise dominates.
const minPredictedFirstToken = 20 * time.Millisecond

// RecordFirstToken records the attempt's first token. Further calls have no effect.
func (t *Table) RecordFirstToken(now time.Time, attempt *Attempt) {
	if attempt.waitEnded || attempt.finished {
		return
	}
	s := attempt.state
	s.history.record(now, &s.ownLoad)
	s.endFirstTokenWait(attempt)
	attempt.lastTokenAt = now
	s.subtractPrefill(attempt)
	s.ownLoad.decode.Add(-1)
	attempt.decodeTokens--
	s.progressAt.Store(now.UnixNano())
	elapsed := float64(now.Sub(attempt.sentAt))
	s.firstTokenRatio.add(now, elapsed/float64(max(attempt.predicted, minPredictedFirstToken)))
	if !attempt.short {
		attempt.stats.addLongRatio(now, elapsed/float64(max(attempt.uncorrected, minPredictedFirstToken)))
	}
}

// endFirstTokenWait ends the attempt's wait for its first token; a short attempt no longer counts in ownShortWaiting.
// Further calls have no effect.
func (s *endpointState) endFirstTokenWait(attempt *Attempt) {
	if attempt.waitEnded {
		return
	}
	attempt.waitEnded = true
	if attempt.short {
		s.ownShortWaiting.Add(-1)
	}
}

// subtractPrefill subtracts the attempt's remaining prefill tokens from the own load counts.
func (s *endpointState) subtractPrefill(attempt *Attempt) {
	s.ownLoad.prefill.Add(-attempt.prefillTokens)
	if attempt.short {
		s.ownShortPrefill.Add(-attempt.prefillTokens)
	}
	attempt.prefillTokens = 0
}

// RecordToken records a token of the attempt after the first.
func (t *Table) RecordToken(now time.Time, attempt *Attempt) {
	if attempt.finished {
		return
	}
	s := attempt.state
	sinceLastToken := float64(now.Sub(attempt.lastTokenAt))
	attempt.lastTokenAt = now
	s.progressAt.Store(now.UnixNano())
	s.interTokenNs.add(now, sinceLastToken)
	attempt.laterTokens++
	if attempt.laterTokens%groupUpdateInterval == 0 {
		attempt.addGroupInterToken(now, sinceLastToken)
	}
	if attempt.decodeTokens > 1 {
		attempt.decodeTokens--
		s.ownLoad.decode.Add(-1)
	}
}

// outlierRatio bounds one value merged into the group's mean time between tokens, as a multiple of that mean, so that
// stragglers do not raise the mean that they are compared with.
const outlierRatio = 3

// groupUpdateInterval is the number of tokens of an attempt per update of the group's mean time between tokens, which
// all goroutines share.
const groupUpdateInterval = 4

// addGroupInterToken merges the time between two tokens into the group's mean.
func (attempt *Attempt) addGroupInterToken(now time.Time, interTokenNs float64) {
	if groupMean := attempt.stats.interTokenNs.mean(); groupMean > 0 {
		interTokenNs = min(interTokenNs, outlierRatio*groupMean)
	}
	attempt.stats.interTokenNs.add(now, interTokenNs)
}

// observeMissingFirstToken handles an attempt that ended without a first token, for example because its hedge was
// faster: its duration is a lower bound of the first-token time and is merged only if its ratio to the predicted time is
// above 1 and above the decayed firstTokenRatio.
func (s *endpointState) observeMissingFirstToken(now time.Time, attempt *Attempt) {
	ratio := float64(now.Sub(attempt.sentAt)) / float64(max(attempt.predicted, minPredictedFirstToken))
	if ratio > max(1, s.firstTokenRatio.decayed(now.UnixNano())) {
		s.firstTokenRatio.add(now, ratio)
	}
}

// RecordFinished records the end of the attempt, with any outcome. Further calls have no effect.
func (t *Table) RecordFinished(now time.Time, attempt *Attempt) {
	if attempt.finished {
		return
	}
	attempt.finished = true
	s := attempt.state
	if !attempt.waitEnded {
		s.observeMissingFirstToken(now, attempt)
	}
	s.history.record(now, &s.ownLoad)
	s.endFirstTokenWait(attempt)
	s.subtractPrefill(attempt)
	s.ownLoad.running.Add(-1)
	s.ownLoad.decode.Add(-attempt.decodeTokens)
	if !attempt.short {
		s.ownLongRunning.Add(-1)
	}
}
