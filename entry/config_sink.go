package entry

import (
	"log/slog"
	"sync/atomic"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/objectapi"
)

// configSink takes the configuration in, from the store's watch and from other instances.
type configSink struct {
	lg      *slog.Logger
	adapter Adapter
	state   *deployment.State
	// changed is called after a new version is in force.
	changed func(*deployment.Config)
	// raw is the value of the newest version, for other instances.
	raw atomic.Pointer[[]byte]
}

// Replace implements objectwatch.Sink.
func (s *configSink) Replace(objects []objectapi.Object, _ objectapi.Version) {
	for _, object := range objects {
		s.take(object, "store")
	}
}

// Change implements objectwatch.Sink.
func (s *configSink) Change(events []objectapi.WatchEvent, _ objectapi.Version) {
	for _, event := range events {
		if !event.Deleted {
			s.take(event.Object, "store")
		}
	}
}

// Current implements objectwatch.Sink.
func (s *configSink) Current(age time.Duration) { s.state.ConfirmConfig(clock.Now().Add(-age)) }

// Lost implements objectwatch.Sink.
func (s *configSink) Lost(err error) { s.lg.Warn("configuration watch lost", "error", err.Error()) }

// Regained implements objectwatch.Sink.
func (s *configSink) Regained() { s.lg.Info("configuration watch regained") }

func (s *configSink) take(object objectapi.Object, source string) {
	if object.Name != s.adapter.ConfigName {
		return
	}
	config, err := s.adapter.DecodeConfig(object.Value)
	if err != nil {
		s.lg.Error("configuration not readable", "version", uint64(object.Version), "source", source, "error", err.Error())
		return
	}
	if !s.state.SetConfig(config) {
		return
	}
	value := append([]byte(nil), object.Value...)
	s.raw.Store(&value)
	s.changed(config)
	s.lg.Info("configuration applied", "version", config.Version, "source", source,
		"services", len(config.Services), "teams", len(config.Teams))
}
