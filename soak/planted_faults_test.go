package soak

import "knapweedhoist/control"

// plantedFaults selects the defects that a run plants to show that the checks catch them.
type plantedFaults struct {
	ignoreFence   bool
	skipClaim     bool
	dropAttempt   bool
	olderRevision bool
}

// publish returns the view that readers get; with olderRevision it reverts to the previous catalogue once in 50 calls.
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
