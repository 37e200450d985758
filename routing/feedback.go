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
	f := Attempt{
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
	s.ownLoad.prefill.Add(f.prefillTokens)
	s.ownLoad.decode.Add(f.decodeTokens)
	if f.short {
		s.ownShortPrefill.Add(f.prefillTokens)
		s.ownShortWaiting.Add(1)
	} else {
		s.ownLongRunning.Add(1)
	}
	if t.cfg.AffinityWeight > 0 {
		t.recordPrefixes(s, work.Prefixes)
	}
	return f
}

// LeaveGrace is the time after which a leaving endpoint must get no new work (guarantee P5).
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
func (t *Table) RecordFirstToken(now time.Time, f *Attempt) {
	if f.waitEnded || f.finished {
		return
	}
	s := f.state
	s.history.record(now, &s.ownLoad)
	s.endFirstTokenWait(f)
	f.lastTokenAt = now
	s.subtractPrefill(f)
	s.ownLoad.decode.Add(-1)
	f.decodeTokens--
	s.progressAt.Store(now.UnixNano())
	elapsed := float64(now.Sub(f.sentAt))
	s.firstTokenRatio.add(now, elapsed/float64(max(f.predicted, minPredictedFirstToken)))
	if !f.short {
		f.stats.addLongRatio(now, elapsed/float64(max(f.uncorrected, minPredictedFirstToken)))
	}
}

// endFirstTokenWait subtracts the attempt from the ones that wait for their first token. Further calls have no effect.
func (s *endpointState) endFirstTokenWait(f *Attempt) {
	if f.waitEnded {
		return
	}
	f.waitEnded = true
	if f.short {
		s.ownShortWaiting.Add(-1)
	}
}

// subtractPrefill subtracts the attempt's remaining prefill tokens from the own load counts.
func (s *endpointState) subtractPrefill(f *Attempt) {
	s.ownLoad.prefill.Add(-f.prefillTokens)
	if f.short {
		s.ownShortPrefill.Add(-f.prefillTokens)
	}
	f.prefillTokens = 0
}

// RecordToken records a token of the attempt after the first.
func (t *Table) RecordToken(now time.Time, f *Attempt) {
	if f.finished {
		return
	}
	s := f.state
	sinceLastToken := float64(now.Sub(f.lastTokenAt))
	f.lastTokenAt = now
	s.progressAt.Store(now.UnixNano())
	s.interTokenNs.add(now, sinceLastToken)
	f.laterTokens++
	if f.laterTokens%groupUpdateInterval == 0 {
		f.addGroupInterToken(now, sinceLastToken)
	}
	if f.decodeTokens > 1 {
		f.decodeTokens--
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
func (f *Attempt) addGroupInterToken(now time.Time, interTokenNs float64) {
	if groupMean := f.stats.interTokenNs.mean(); groupMean > 0 {
		interTokenNs = min(interTokenNs, outlierRatio*groupMean)
	}
	f.stats.interTokenNs.add(now, interTokenNs)
}

// observeMissingFirstToken handles an attempt that ended without a first token, for example because its hedge was
// faster: its duration is a lower bound of the first-token time and is merged only if it raises firstTokenRatio.
func (s *endpointState) observeMissingFirstToken(now time.Time, f *Attempt) {
	ratio := float64(now.Sub(f.sentAt)) / float64(max(f.predicted, minPredictedFirstToken))
	if ratio > max(1, s.firstTokenRatio.decayed(now.UnixNano())) {
		s.firstTokenRatio.add(now, ratio)
	}
}

// RecordFinished records the end of the attempt, with any outcome. Further calls have no effect.
func (t *Table) RecordFinished(now time.Time, f *Attempt) {
	if f.finished {
		return
	}
	f.finished = true
	s := f.state
	if !f.waitEnded {
		s.observeMissingFirstToken(now, f)
	}
	s.history.record(now, &s.ownLoad)
	s.endFirstTokenWait(f)
	s.subtractPrefill(f)
	s.ownLoad.running.Add(-1)
	s.ownLoad.decode.Add(-f.decodeTokens)
	if !f.short {
		s.ownLongRunning.Add(-1)
	}
}
