package routing

import (
	"time"

	"knapweedhoist/invariant"
)

// Sent records that the work was sent to the chosen endpoint. The caller
// passes the flight to FirstToken, Token and Finished.
func (t *Table) Sent(now time.Time, choice Choice, work Work) Flight {
	s := choice.state
	t.checkLeaving(now, s)
	s.history.note(now, &s.own)
	f := Flight{
		state:    s,
		usual:    choice.usual,
		sentAt:   now,
		last:     now,
		prefill:  int64(max(0, work.PromptTokens-choice.CachedTokens)),
		decode:   int64(max(1, work.DecodeTokens)),
		short:    work.Short,
		expected: choice.FirstToken,
		raw:      choice.raw,
	}
	s.own.running.Add(1)
	s.own.prefill.Add(f.prefill)
	s.own.decode.Add(f.decode)
	if f.short {
		s.ownShort.Add(f.prefill)
		s.ownShortWaiting.Add(1)
	} else {
		s.ownLong.Add(1)
	}
	if t.cfg.AffinityWeight > 0 {
		t.remember(s, work.Prefixes)
	}
	return f
}

// LeaveGrace is the time after which a leaving endpoint must get no new work (guarantee P5).
const LeaveGrace = 3 * time.Second

func (t *Table) checkLeaving(now time.Time, s *state) {
	if left := s.leftFor(now); left > LeaveGrace {
		t.checker.Violated(invariant.Violation{
			Name: "routing/sent_to_leaving", Step: "sent", Peer: s.id, Detail: "leaving for " + left.String(),
		})
	}
}

// remember records the prefixes that the endpoint will hold, before its late cache events say so.
func (t *Table) remember(s *state, prefixes []Prefix) {
	for _, p := range prefixes[:min(len(prefixes), MaxPrefixes)] {
		t.cache.add(p, s)
	}
}

// minExpected is the smallest first-token prediction used as a reference: below it, scheduling noise dominates.
const minExpected = 20 * time.Millisecond

// FirstToken records the attempt's first token.
func (t *Table) FirstToken(now time.Time, f *Flight) {
	if f.started || f.finished {
		return
	}
	s := f.state
	s.history.note(now, &s.own)
	s.answered(f)
	f.last = now
	s.prefilled(f)
	s.own.decode.Add(-1)
	f.decode--
	s.progressAt.Store(now.UnixNano())
	took := float64(now.Sub(f.sentAt))
	s.delay.add(now, took/float64(max(f.expected, minExpected)))
	if !f.short {
		f.usual.observeLong(now, took/float64(max(f.raw, minExpected)))
	}
}

// answered ends the attempt's wait for its first token.
func (s *state) answered(f *Flight) {
	if f.started {
		return
	}
	f.started = true
	if f.short {
		s.ownShortWaiting.Add(-1)
	}
}

// prefilled takes the attempt's prompt out of the counts.
func (s *state) prefilled(f *Flight) {
	s.own.prefill.Add(-f.prefill)
	if f.short {
		s.ownShort.Add(-f.prefill)
	}
	f.prefill = 0
}

// Token records one more token of the attempt.
func (t *Table) Token(now time.Time, f *Flight) {
	if f.finished {
		return
	}
	s := f.state
	gap := float64(now.Sub(f.last))
	f.last = now
	s.progressAt.Store(now.UnixNano())
	s.gap.add(now, gap)
	f.tokens++
	if f.tokens%usualEvery == 0 {
		f.observeUsual(now, gap)
	}
	if f.decode > 1 {
		f.decode--
		s.own.decode.Add(-1)
	}
}

// outlierRatio cuts a slow gap off before it enters the usual gap, so that stragglers do not redefine what is usual.
const outlierRatio = 3

// usualEvery is how many tokens of an attempt pass between updates of the usual gap, which all goroutines share.
const usualEvery = 4

// observeUsual merges the gap into the group's usual gap.
func (f *Flight) observeUsual(now time.Time, gap float64) {
	if usual := f.usual.gap.mean(); usual > 0 {
		gap = min(gap, outlierRatio*usual)
	}
	f.usual.gap.add(now, gap)
}

// observeUnanswered takes an attempt that ended without a first token, for example because its hedge answered first, as
// a sign that the endpoint takes at least this long.
func (s *state) observeUnanswered(now time.Time, f *Flight) {
	ratio := float64(now.Sub(f.sentAt)) / float64(max(f.expected, minExpected))
	if ratio > max(1, s.delay.read(now.UnixNano())) {
		s.delay.add(now, ratio)
	}
}

// Finished records the end of the attempt, whatever its outcome. Further calls have no effect.
func (t *Table) Finished(now time.Time, f *Flight) {
	if f.finished {
		return
	}
	f.finished = true
	s := f.state
	if !f.started {
		s.observeUnanswered(now, f)
	}
	s.history.note(now, &s.own)
	s.answered(f)
	s.prefilled(f)
	s.own.running.Add(-1)
	s.own.decode.Add(-f.decode)
	if !f.short {
		s.ownLong.Add(-1)
	}
}
