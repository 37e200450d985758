package streamorigin

import "time"

// ObjectAges tells which objects of the store have changed, and which have been unchanged for so long that their streams can no longer
// be taken up. It needs no clock of the writers. It is not safe for concurrent use.
type ObjectAges struct {
	// seen holds the objects of the last read by name.
	seen map[string]seenObject
}

type seenObject struct {
	// hash is that of the value; a store that returns to an older copy gives out its versions again.
	hash  uint64
	since time.Time
}

// Observe replaces the objects with those that were read: the hashes of their values by name. It returns the names of those that
// are new or have changed, and of those that have been unchanged long enough to be deleted.
func (r *ObjectAges) Observe(now time.Time, hashes map[string]uint64) (changed, outdated map[string]bool) {
	changed, outdated = make(map[string]bool), make(map[string]bool)
	seen := make(map[string]seenObject, len(hashes))
	for name, hash := range hashes {
		former, ok := r.seen[name]
		if !ok || former.hash != hash {
			changed[name], former = true, seenObject{hash: hash, since: now}
		} else if now.Sub(former.since) >= outdatedAge {
			outdated[name] = true
		}
		seen[name] = former
	}
	r.seen = seen
	return changed, outdated
}
