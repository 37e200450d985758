package standin

import (
	"slices"

	"knapweedhoist/engine"
)

// maxKVHandles is the maximum number of exported and imported KV caches per engine.
const maxKVHandles = 256

// kvStore holds the handles of exported and imported KV caches and evicts the
// oldest one first. It is not safe for concurrent use.
type kvStore struct {
	handles []engine.KVHandle
}

func (k *kvStore) put(handle engine.KVHandle) {
	k.handles = append(k.handles, handle)
	if len(k.handles) > maxKVHandles {
		k.handles = slices.Delete(k.handles, 0, 1)
	}
}

func (k *kvStore) get(id string) (engine.KVHandle, bool) {
	for _, handle := range k.handles {
		if handle.ID == id {
			return handle, true
		}
	}
	return engine.KVHandle{}, false
}
