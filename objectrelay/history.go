package objectrelay

import "knapweedhoist/objectapi"

const (
	// maxChanges is the number of changes that a history keeps.
	maxChanges = 512
	// batchBytes is the size of a batch without its encoded changes.
	batchBytes = 64
)

// history holds the last changes of a copy for its watches. It keeps at most maxChanges changes of at most maxBytes
// bytes. A reader that is further behind lists again.
type history struct {
	maxBytes int
	batches  []batch
	// start is the version after which the history is complete.
	start          objectapi.Version
	changes, bytes int
}

// batch holds the changes of one answer of the store. The version of the last change is at most version. All readers share
// the encoded changes.
type batch struct {
	version objectapi.Version
	changes int
	encoded []byte
}

// reset drops all changes; the history begins after version.
func (h *history) reset(version objectapi.Version) {
	*h = history{maxBytes: h.maxBytes, start: version}
}

// add appends a batch and drops the oldest ones above the bounds. A batch of more than maxChanges changes is kept while it
// is the only one, a batch of more than maxBytes is not.
func (h *history) add(b batch) {
	h.batches = append(h.batches, b)
	h.changes += b.changes
	h.bytes += b.size()
	for len(h.batches) > 1 && h.changes > maxChanges || len(h.batches) > 0 && h.bytes > h.maxBytes {
		oldest := h.batches[0]
		h.batches[0] = batch{} // the array still refers to it
		h.batches = h.batches[1:]
		h.changes -= oldest.changes
		h.bytes -= oldest.size()
		h.start = oldest.version
	}
}

// since returns the encoded changes after a version, or ErrCompacted if the history no longer holds them all. A batch of which
// the reader has a part is returned whole: applied in order, it leads to the same state.
func (h *history) since(from objectapi.Version) (parts [][]byte, err error) {
	if from < h.start {
		return nil, objectapi.ErrCompacted
	}
	for _, b := range h.batches {
		if b.version > from && b.changes > 0 {
			parts = append(parts, b.encoded)
		}
	}
	return parts, nil
}

// size returns the memory of the batch in bytes.
func (b batch) size() int { return batchBytes + len(b.encoded) }
