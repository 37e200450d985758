package streamorigin

import (
	"time"

	"github.com/zeebo/xxh3"
)

// Lifetime is how long after its begin a stream may still be taken up.
const Lifetime = 30 * time.Second

// Key identifies a stream: the xxh3 hash of the id of the caller's request that brought its first event.
type Key uint64

// KeyOf returns the key of the stream that began with the caller's request id.
func KeyOf(id string) Key { return Key(xxh3.HashString(id)) }

// Entry states where a stream began and how long it may still be taken up. Instances share entries.
type Entry struct {
	Key       Key
	Origin    Origin
	Remaining time.Duration
}
