package knapweedhoist

import (
	"time"

	"knapweedhoist/cloud"
)

// reclaimHistory counts reclaims and running time by kind of instance, from the
// time at which this instance got the lease "capacity".
type reclaimHistory struct {
	observedAt time.Time
	running    map[instanceKind]time.Duration
	reclaims   map[instanceKind]int
	// leaving holds the IDs of the instances that were leaving at the last
	// observation; their reclaims are counted already.
	leaving map[string]struct{}
}

// instanceKind identifies a kind of reclaimable instance by zone and class.
type instanceKind struct {
	zone, class string
}

func newReclaimHistory() *reclaimHistory {
	return &reclaimHistory{
		running: make(map[instanceKind]time.Duration), reclaims: make(map[instanceKind]int),
		leaving: make(map[string]struct{}),
	}
}

// observe adds the time since the last observation to the running time of each
// kind, and counts the reclaims that have started since then.
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
		kind := instanceKind{zone: instance.Zone, class: instance.Class}
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

// rate returns the reclaims per instance and hour. One hour without a reclaim is
// added to the observed running time, so that a short history does not
// overestimate the rate.
func (h *reclaimHistory) rate(zone, class string, reclaimable bool) float64 {
	if !reclaimable {
		return 0
	}
	kind := instanceKind{zone: zone, class: class}
	return float64(h.reclaims[kind]) / (h.running[kind] + time.Hour).Hours()
}
