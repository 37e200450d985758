package distribution

import (
	"fmt"

	"knapweedhoist/catalog"
	"knapweedhoist/invariant"
)

// Names of the asserted invariants.
const (
	// InvariantRevision: the revision in force never falls.
	InvariantRevision = "distribution/revision_order"
	// InvariantOneInForce: exactly one preset is in force.
	InvariantOneInForce = "distribution/one_in_force"
	// InvariantOneDocument: a revision has one content.
	InvariantOneDocument = "distribution/one_document"
)

func inForceOnce(document *catalog.Document) bool {
	n := 0
	for _, preset := range document.Presets {
		if preset.Name == document.InForce {
			n++
		}
	}
	return n == 1
}

func (e *Editor) check(ok bool, name string, revision uint64) {
	report(e.cfg.Checker, ok, name, "edit", "", revision)
}

func (f *Follower) check(ok bool, name, step, peer string, revision uint64) {
	report(f.cfg.Checker, ok, name, step, peer, revision)
}

func report(checker invariant.Checker, ok bool, name, step, peer string, revision uint64) {
	if ok || checker == nil {
		return
	}
	checker.Violated(invariant.Violation{Name: name, Step: step, Peer: peer, Detail: fmt.Sprintf("revision %d", revision)})
}
