// Package operator serves the HTTP API for operators of an entry instance: status, endpoints,
// requests, configuration changes, timeline, drain, metrics, profiles and health checks.
//
// The daemon (package knapweedhoist) creates a Server and implements Fleet and Configuration;
// hoistctl is the usual client and shares the types of the bodies. Every path except /healthz and
// /readyz needs the bearer key of an operator. A Server holds no locks; its handlers run concurrently.
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Limits of the API.
const (
	// maxBodyBytes is enough for any item of the configuration document, which is at most 1 MB.
	maxBodyBytes = 1 << 20
	// maxConnections limits the resources held by idle connections.
	maxConnections = 256
	readTimeout    = 10 * time.Second
	// writeTimeout is longer than a CPU profile of 30 s.
	writeTimeout = 60 * time.Second
	// callTimeout is the maximum time of a change, a request look-up or a timeline query to the peers.
	callTimeout = 5 * time.Second
	// DefaultWait and MaxWait are the default and the maximum time to wait for a revision. A
	// revision is in force at all instances within 6 s, unless some are unreachable.
	DefaultWait = 10 * time.Second
	MaxWait     = 30 * time.Second
	// waitPollInterval is the time between two checks of the revision during a wait.
	waitPollInterval = 100 * time.Millisecond
	// defaultEvents is the limit of a timeline query that does not specify one.
	defaultEvents = 2000
	// maxEvents is the highest limit of a timeline query.
	maxEvents = 20000
)

// Credential is the bearer key of one operator, as a hash.
type Credential struct {
	// Operator is the name recorded with the operator's changes.
	Operator string
	// KeyHash is the SHA-256 hash of the bearer key: 64 hexadecimal digits.
	KeyHash string
}

// HashKey returns the SHA-256 hash of a bearer key in hexadecimal, as in Credential.KeyHash.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// Config configures a Server.
type Config struct {
	// Credentials lists the operators that may use the API; at least one.
	Credentials []Credential
	// Metrics is the registry that /metrics exposes.
	Metrics metrics.Registry
}
