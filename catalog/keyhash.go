package catalog

import "crypto/sha256"

// KeyHash is the SHA-256 of a team's bearer key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a bearer key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }
