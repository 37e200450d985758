package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// Hash is the 16-byte hash of an idempotency key (see KeyHash) or of a call. The sender of a claim request computes the
// hash of the call, which the shard only compares.
type Hash [16]byte

// KeyHash returns the hash of an idempotency key: the first 16 bytes of a SHA-256. The parts are hashed with
// their lengths, so that different triples never have the same input bytes.
func KeyHash(team, service, key string) Hash {
	var b []byte
	for _, part := range []string{team, service, key} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	return BodyHash(b)
}

// BodyHash returns the first 16 bytes of the SHA-256 of body.
func BodyHash(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(sum[:16])
}

// ShardOf returns the shard of a key, from 0 to shards-1.
func ShardOf(key Hash, shards int) int {
	return int(binary.BigEndian.Uint64(key[:8]) % uint64(shards))
}
