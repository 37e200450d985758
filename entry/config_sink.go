package entry

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

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
	// raw is the encoded value of the newest version, which other instances may fetch.
	raw atomic.Pointer[[]byte]
}

// Replace implements objectwatch.Sink.
func (s *configSink) Replace(objects []objectapi.Object, _ objectapi.Version) {
	for _, object := range objects {
		s.applyObject(object, "store")
	}
}

// Apply implements objectwatch.Sink.
func (s *configSink) Apply(events []objectapi.WatchEvent, _ objectapi.Version) {
	for _, event := range events {
		if !event.Deleted {
			s.applyObject(event.Object, "store")
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

// applyObject puts the configuration of an object in force if it is newer than the current one. source is "store" or the
// name of the instance that it was fetched from.
func (s *configSink) applyObject(object objectapi.Object, source string) {
	if object.Name != s.adapter.ConfigName {
		return
	}
	config, err := s.adapter.DecodeConfig(object.Value)
	if err != nil {
		s.refused.Inc(1)
		s.lg.Error("configuration cannot be decoded", "version", uint64(object.Version), "source", source, "error", err.Error())
		return
	}
	if !s.state.SetConfig(config) {
		return
	}
	value := append([]byte(nil), object.Value...)
	s.raw.Store(&value)
	s.onApplied(config)
	s.lg.Info("configuration applied", "version", config.Version, "source", source,
		"services", len(config.Services), "teams", len(config.Teams))
}
