package distribution

import (
	"fmt"

	"knapweedhoist/catalog"
	"knapweedhoist/invariant"
)

// Names of the invariants that the Editor and the Follower check.
const (
	// InvariantRevisionOrder holds when the revision in force never decreases.
	InvariantRevisionOrder = "distribution/revision_order"
	// InvariantOneInForce holds when exactly one preset is in force.
	InvariantOneInForce = "distribution/one_in_force"
	// InvariantOneDocument holds when all documents of the same revision are equal.
	InvariantOneDocument = "distribution/one_document"
)

// hasOnePresetInForce reports whether exactly one preset has the name in InForce.
func hasOnePresetInForce(document *catalog.Document) bool {
	n := 0
	for _, preset := range document.Presets {
		if preset.Name == document.InForce {
			n++
		}
	}
	return n == 1
}

func (e *Editor) assertInvariant(ok bool, name string, revision uint64) {
	reportViolation(e.cfg.Checker, ok, name, "edit", "", revision)
}

func (f *Follower) assertInvariant(ok bool, name, step, peer string, revision uint64) {
	reportViolation(f.cfg.Checker, ok, name, step, peer, revision)
}

func reportViolation(checker invariant.Checker, ok bool, name, step, peer string, revision uint64) {
	if ok || checker == nil {
		return
	}
	checker.Violated(invariant.Violation{Name: name, Step: step, Peer: peer, Detail: fmt.Sprintf("revision %d", revision)})
}
