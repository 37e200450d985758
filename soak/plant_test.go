package soak

import "knapweedhoist/control"

// plant is a planted fault.
type plantedFaults struct {
	ignoreFence   bool
	skipClaim     bool
	dropAttempt   bool
	olderRevision bool
}

// publish returns the view that readers get; an instance with the fault sometimes goes back to an older catalogue.
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
