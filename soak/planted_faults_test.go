package soak

import "knapweedhoist/control"

// plantedFaults selects the defects that a run plants to show that the checks catch them.
type plantedFaults struct {
	// ignoreFence makes endpoints run orders with an old fencing token.
	ignoreFence bool
	// skipClaim starts the attempts of keyed requests without a claim.
	skipClaim bool
	// ignoreAttemptNumber accepts tokens of superseded attempts as tokens of the last one.
	ignoreAttemptNumber bool
	// olderRevision sometimes publishes an older configuration.
	olderRevision bool
}

// publish returns the view that readers get. With olderRevision, one in 50 calls, drawn at random, replaces the view's
// catalogue by that of the previous such call.
func (p plantedFaults) publish(in *instance, view *control.View) *control.View {
	if !p.olderRevision || in.view == nil || in.view.Catalog == nil || in.w.rng.Intn(50) != 0 {
		return view
	}
	older := *view
	older.Catalog = in.previousCatalog
	in.previousCatalog = view.Catalog
	if older.Catalog == nil {
		return view
	}
	return &older
}
