// Package operator is the operators' HTTP API of an entry instance: status,
// configuration changes, timeline, metrics, profiles and health.
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Limits.
const (
	// maxBodyBytes fits any item of the configuration document (at most 1 MB).
	maxBodyBytes = 1 << 20
	// maxConnections bounds the cost of connections that send nothing.
	maxConnections = 256
	readTimeout    = 10 * time.Second
	// writeTimeout exceeds a profile of 30 s.
	writeTimeout = 60 * time.Second
	// callTimeout bounds a change, and the answers of peers to a timeline query.
	callTimeout = 5 * time.Second
	// DefaultWait and MaxWait bound a wait for a revision. A revision is in
	// force everywhere within 6 s, unless instances are cut off.
	DefaultWait = 10 * time.Second
	MaxWait     = 30 * time.Second
	waitPoll    = 100 * time.Millisecond
	// defaultEvents limits a timeline query that gives no limit.
	defaultEvents = 2000
	maxEvents     = 20000
)

// Credential is one operator's key.
type Credential struct {
	// Operator is the name that changes are recorded under.
	Operator string
	// KeyHash is the SHA-256 hash of the bearer key, in hexadecimal.
	KeyHash string
}

// HashKey returns the KeyHash of a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Config configures a Server.
type Config struct {
	// Credentials of the operators; at least one.
	Credentials []Credential
	// Metrics is the registry that /metrics shows.
	Metrics metrics.Registry
}
