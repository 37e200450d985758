package quarantine

import (
	"slices"
	"strconv"
)

// Key is what evidence is kept for: a part of prompts, or one request whatever its id. The highest bit states the kind.
type Key uint64

// requestBit is set in the keys of requests.
const requestBit Key = 1 << 63

// PartKey returns the key of a prompt part with the given content.
func PartKey(content uint64) Key { return Key(content) &^ requestBit }

// RequestKey returns the key of the requests with a fingerprint, a hash of what endpoints see of them apart from their id.
func RequestKey(fingerprint uint64) Key { return Key(fingerprint) | requestBit }

// IsRequest reports whether the key is that of a request.
func (k Key) IsRequest() bool { return k&requestBit != 0 }

// Kind returns the text for the log.
func (k Key) Kind() string {
	if k.IsRequest() {
		return "fingerprint"
	}
	return "prompt part"
}

// String returns the content of the part or the fingerprint in hexadecimal.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Request holds the keys of one request.
type Request struct {
	// Key is the key of the request itself, 0 if it has none.
	Key Key
	// Parts holds the keys of the prompt parts that other requests can have too, in the order of the prompt.
	Parts []Key
}

// keys returns the keys that evidence is kept for, the narrowest last.
func (r Request) keys() []Key {
	if r.Key == 0 {
		return r.Parts
	}
	return append(slices.Clone(r.Parts), r.Key)
}
