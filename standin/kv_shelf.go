package standin

import (
	"slices"

	"knapweedhoist/engine"
)

// maxKVHandles bounds the KV caches that an engine holds for export or import.
const maxKVHandles = 256

// kvStore holds exported and imported KV caches by handle; the oldest one
// leaves first. Its owner serialises the calls.
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
