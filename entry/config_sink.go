package entry

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/xxh3"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/objectapi"
)

// configSink decodes new versions of the configuration and puts them in force. They come from the watch of the store
// or from another instance.
type configSink struct {
	lg      *slog.Logger
	adapter Adapter
	state   *deployment.State
	// refused counts the versions that could not be decoded.
	refused metrics.Counter
	// onApplied is called after a new version is in force.
	onApplied func(*deployment.Config)
	// raw is the encoded value of the newest valid version, which other instances may fetch.
	raw atomic.Pointer[[]byte]

	// mu serialises the versions from the store and those from other instances.
	mu       sync.Mutex
	versions deployment.Versions
	// lastRefused is the hash of the value that was refused last.
	lastRefused uint64
}

// Replace implements objectwatch.Sink.
func (s *configSink) Replace(objects []objectapi.Object, position objectapi.Position) {
	for _, object := range objects {
		s.applyObject(object, position.Era, "store")
	}
}

// Apply implements objectwatch.Sink.
func (s *configSink) Apply(events []objectapi.WatchEvent, position objectapi.Position) {
	for _, event := range events {
		if !event.Deleted {
			s.applyObject(event.Object, position.Era, "store")
		}
	}
}

// Confirm implements objectwatch.Sink.
func (s *configSink) Confirm(age time.Duration) { s.state.ConfirmConfig(clock.Now().Add(-age)) }

// WatchLost implements objectwatch.Sink.
func (s *configSink) WatchLost(err error) {
	s.lg.Warn("configuration watch lost", "error", err.Error())
}

// WatchRegained implements objectwatch.Sink.
func (s *configSink) WatchRegained() { s.lg.Info("configuration watch regained") }

// applyObject puts the configuration of an object in force if it is newer than the current one. A version that cannot be
// decoded only withdraws API keys. era is that of the object's version. source is "store" or the name of the instance that it was
// fetched from; the object has no version and no era then.
func (s *configSink) applyObject(object objectapi.Object, era objectapi.Era, source string) {
	if object.Name != s.adapter.ConfigName {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	position := objectapi.Position{Era: era, Version: object.Version}
	config, err := s.adapter.DecodeConfig(object.Value)
	if err != nil {
		s.refuse(object, position, source, err)
		return
	}
	if !s.versions.Accept(config, position) {
		return
	}
	value := append([]byte(nil), object.Value...)
	s.raw.Store(&value)
	s.publish()
	s.lg.Info("configuration applied", "version", config.Version, "revision", uint64(object.Version), "era", uint64(era), "source", source,
		"services", len(config.Services), "teams", len(config.Teams))
}

// refuse withdraws the API keys that a version which cannot be decoded no longer holds, and logs it once. The caller holds s.mu.
func (s *configSink) refuse(object objectapi.Object, position objectapi.Position, source string, err error) {
	rejected := s.adapter.ReadRejectedConfig(object.Value)
	if s.versions.Reject(rejected, position) {
		s.publish()
	}
	if hash := xxh3.Hash(object.Value); hash != s.lastRefused {
		s.lastRefused = hash
		s.refused.Inc(1)
		s.lg.Error("configuration cannot be decoded", "version", rejected.Version, "in_force", s.inForce(),
			"revision", uint64(object.Version), "era", uint64(position.Era), "source", source, "withdraws_keys", s.versions.Withdraws(), "error", err.Error())
	}
}

// publish puts the configuration that versions decides on in force. The caller holds s.mu.
func (s *configSink) publish() {
	config := s.versions.InForce()
	s.state.SetConfig(config)
	s.onApplied(config)
}

// inForce returns the version in force, 0 before the first one. The caller holds s.mu.
func (s *configSink) inForce() int64 {
	if config := s.versions.InForce(); config != nil {
		return config.Version
	}
	return 0
}

// register registers gauges of the version in force, of the newest one that was read, and of withdrawn API keys.
func (s *configSink) register(registry metrics.Registry) {
	for name, value := range map[string]func() int64{
		"config_version": s.inForce, "config_newest_version": s.versions.Newest, "config_withdraws_keys": func() int64 {
			if s.versions.Withdraws() {
				return 1
			}
			return 0
		},
	} {
		// The names are registered nowhere else.
		_ = metrics.NewRegisteredFunctionalGauge(name, registry, func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return value()
		})
	}
}
