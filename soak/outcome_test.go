package soak

import (
	"fmt"
	"slices"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/request"
)

// recordFinish records the result that the caller received, and checks it against the expected answer.
func (j *job) recordFinish(finish *request.Finish) {
	if j.finish != nil {
		j.w.fail("P2: %s received two final events", j.spec.ID)
	}
	j.finish, j.endedAt = finish, j.w.now
	j.w.outcomes[string(j.spec.Kind)+" "+string(finish.Outcome)+" "+finish.Step]++
	if finish.Outcome != request.OutcomeRan || finish.Step != "" {
		return
	}
	if j.spec.Kind == catalog.KindModel && j.caller.lastEventID != uint64(j.tokens)+1 {
		j.w.fail("P2: %s got %d of %d tokens", j.spec.ID, j.caller.lastEventID-1, j.tokens)
	}
	if j.spec.Kind == catalog.KindPlain && string(finish.Body) != j.answer() {
		j.w.fail("P2: %s got %q, want %q", j.spec.ID, finish.Body, j.answer())
	}
}

// check verifies the outcome of a job at the end of the run.
func (j *job) check() {
	w := j.w
	switch {
	case j.finish != nil && j.finish.Outcome == request.OutcomeNotRun && j.runs > 0:
		w.fail("P3: %s was reported as not_run and ran %d times", j.spec.ID, j.runs)
	case j.finish != nil && j.finish.Outcome == request.OutcomeRan:
	case j.finish == nil && !j.unknownEverywhere:
		w.fail("P1: %s has no final event; owners %s", j.spec.ID, j.history())
	case j.spec.Repeatable() && !j.excused():
		w.fail("P1: %s %s: %s; owners %s", j.spec.Kind, j.spec.ID, j.result(), j.history())
	}
}

func (j *job) result() string {
	if j.finish == nil {
		return "not found"
	}
	return string(j.finish.Outcome) + " at " + j.finish.Step
}

// recordHolders records the instance as a holder of its open requests when it ends.
func (w *world) recordHolders(in *instance) {
	for _, j := range w.jobs {
		if _, found := in.registry.Lookup(j.spec.ID); found {
			j.holders = append(j.holders, in)
		}
	}
}

// excused reports whether P1 permits a repeatable request to end without its answer: its deadline passed; an instance that
// held it died without notice, received a second signal, or met the failures of recordFailuresWhileLeaving during its
// departure; or failures kept the caller from a finished answer until its retention time was over.
func (j *job) excused() bool {
	if j.finish != nil && j.finish.Step == "deadline" {
		return true
	}
	if j.finish == nil && j.keptFromCaller && j.retentionExpired() {
		return true
	}
	return j.affectedByFailures()
}

// affectedByFailures reports whether an instance that held the request died without notice, met other failures during
// its departure, or received a second signal, which ends at once every request that no peer has acknowledged.
func (j *job) affectedByFailures() bool {
	for _, owner := range slices.Concat(j.owners, j.holders) {
		if owner.killed || owner.failuresWhileLeaving || owner.secondSignal {
			return true
		}
	}
	return false
}

// retentionExpired reports whether an owner finished the request at least the retention time before the caller stopped.
func (j *job) retentionExpired() bool {
	return !j.answeredAt.IsZero() && j.endedAt.Sub(j.answeredAt) >= request.DefaultRetention
}

// history lists the owners and holders of a job for a fault message.
func (j *job) history() string {
	text := ""
	for _, owner := range slices.Concat(j.owners, j.holders) {
		text += owner.id + "@" + owner.dc
		switch {
		case owner.killed:
			text += " (killed)"
		case owner.leaving:
			text += fmt.Sprintf(" (left after %v, failures while leaving %v)", owner.leavingSince.Sub(j.spec.Received).Round(time.Millisecond), owner.failuresWhileLeaving)
		}
		text += " "
	}
	return text
}
