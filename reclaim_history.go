package knapweedhoist

import (
	"time"

	"knapweedhoist/cloud"
)

// reclaimHistory counts reclaims and running time by kind of instance, since
// this instance holds the lease "capacity".
type reclaimHistory struct {
	observedAt time.Time
	running    map[machineKind]time.Duration
	reclaims   map[machineKind]int
	leaving    map[string]struct{}
}

// machineKind is a kind of reclaimable instance.
type machineKind struct {
	zone, class string
}

func newReclaimHistory() *reclaimHistory {
	return &reclaimHistory{
		running: make(map[machineKind]time.Duration), reclaims: make(map[machineKind]int),
		leaving: make(map[string]struct{}),
	}
}

// observe adds the time since the last observation, and the reclaims that are new.
func (h *reclaimHistory) observe(now time.Time, instances []cloud.Instance) {
	var since time.Duration
	if !h.observedAt.IsZero() {
		since = now.Sub(h.observedAt)
	}
	h.observedAt = now
	leaving := make(map[string]struct{})
	for _, instance := range instances {
		if !instance.Reclaimable {
			continue
		}
		kind := machineKind{zone: instance.Zone, class: instance.Class}
		h.running[kind] += since
		if instance.State != cloud.StateLeaving {
			continue
		}
		leaving[instance.ID] = struct{}{}
		if _, known := h.leaving[instance.ID]; !known {
			h.reclaims[kind]++
		}
	}
	h.leaving = leaving
}

// rate returns the reclaims of one instance in an hour. One hour without a
// reclaim is assumed beside what was observed, so that a short history does
// not exaggerate.
func (h *reclaimHistory) rate(zone, class string, reclaimable bool) float64 {
	if !reclaimable {
		return 0
	}
	kind := machineKind{zone: zone, class: class}
	return float64(h.reclaims[kind]) / (h.running[kind] + time.Hour).Hours()
}
