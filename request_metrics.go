package knapweedhoist

import metrics "github.com/rcrowley/go-metrics"

// registerRequestMetrics registers gauges of the requests, the dropped timeline
// events and the configuration revision of the instance.
func (i *Instance) registerRequestMetrics() {
	gauges := map[string]func() int64{
		"requests_in_progress":    func() int64 { n, _, _ := i.registry.Counts(); return int64(n) },
		"requests_finished_kept":  func() int64 { _, n, _ := i.registry.Counts(); return int64(n) },
		"requests_held_bytes":     func() int64 { _, _, n := i.registry.Counts(); return n },
		"timeline_dropped_events": func() int64 { return int64(i.ring.Dropped()) },
		"configuration_revision":  func() int64 { return int64(i.revisionInForce()) },
	}
	for name, read := range gauges {
		metrics.NewRegisteredFunctionalGauge(name, i.metrics, read)
	}
}

// revisionInForce returns the revision of the configuration in force, 0 before
// the first configuration.
func (i *Instance) revisionInForce() uint64 {
	if view := i.view.Load(); view != nil && view.Catalog != nil {
		return view.Catalog.Revision()
	}
	return 0
}
