package entry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/internal/contain"
	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
	"knapweedhoist/quarantine"
)

const (
	// quarantineObject is the name of the object that holds the quarantines.
	quarantineObject = "prompt-parts"
	// quarantineInterval is the time between two checks whether the object has to be read or written.
	quarantineInterval = 500 * time.Millisecond
)

// quarantineStore keeps the quarantines in the store, so that they outlive a restart of all instances.
type quarantineStore struct {
	lg    *slog.Logger
	store objectapi.Store
	guard *quarantine.Guard
	// changed is set when the quarantines have changed since the last write.
	changed atomic.Bool
	// loaded is set once the object was read; version is its version, 0 if it does not exist.
	loaded  bool
	version objectapi.Version
}

func newQuarantineStore(lg *slog.Logger, store objectapi.Store, guard *quarantine.Guard) *quarantineStore {
	return &quarantineStore{lg: lg, store: store, guard: guard}
}

// quarantineRecord is one entry of the object. Ages are not kept, since the clocks of instances may differ: a quarantine that
// is read begins anew.
type quarantineRecord struct {
	// Part is the quarantine.Key as a number.
	Part  uint64 `json:"part"`
	Epoch int    `json:"epoch"`
}

// run reads the object once, and writes it after changes while isWriter returns true, until ctx ends.
func (s *quarantineStore) run(ctx context.Context, isWriter func() bool) {
	for ctx.Err() == nil {
		_ = contain.Run(s.lg, "keep quarantines in the store", func() {
			if err := s.sync(ctx, isWriter()); err != nil && ctx.Err() == nil {
				s.lg.Warn("quarantines not kept in the store", "error", err.Error())
			}
		})
		wait.For(ctx, quarantineInterval)
	}
}

// sync makes the call that is due.
func (s *quarantineStore) sync(ctx context.Context, isWriter bool) error {
	if !s.loaded {
		reply, err := s.store.Do(ctx, objectapi.Get(objectapi.KindQuarantine, quarantineObject))
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			return err
		}
		s.take(reply.Object)
		s.loaded = true
	}
	if !isWriter || !s.changed.Swap(false) {
		return nil
	}
	err := s.write(ctx)
	if err != nil {
		s.changed.Store(true)
	}
	return err
}

// write replaces the object. If another instance has changed it, its entries are taken over first.
func (s *quarantineStore) write(ctx context.Context) error {
	value, err := json.Marshal(s.records())
	if err != nil {
		return err
	}
	request := objectapi.Request{Op: objectapi.OpPut, Kind: objectapi.KindQuarantine, Name: quarantineObject, Value: value}
	request.Condition = objectapi.Condition{IfVersion: s.version, IfAbsent: s.version == 0}
	reply, err := s.store.Do(ctx, request)
	if errors.Is(err, objectapi.ErrConflict) {
		s.take(reply.Object)
		s.changed.Store(true)
		return nil
	}
	if err == nil {
		s.version = reply.Object.Version
	}
	return err
}

// records returns the quarantines in force.
func (s *quarantineStore) records() []quarantineRecord {
	records := []quarantineRecord{}
	for _, record := range s.guard.Own(clock.Now()).Records {
		if !record.Lifted {
			records = append(records, quarantineRecord{Part: uint64(record.Key), Epoch: record.Epoch})
		}
	}
	return records
}

// take adds the quarantines of the object to those of this instance.
func (s *quarantineStore) take(object objectapi.Object) {
	s.version = object.Version
	if len(object.Value) == 0 {
		return
	}
	var records []quarantineRecord
	if err := json.Unmarshal(object.Value, &records); err != nil {
		s.lg.Warn("stored quarantines ignored", "error", err.Error())
		return
	}
	var evidence quarantine.Evidence
	for _, record := range records[:min(len(records), quarantine.MaxRecords)] {
		evidence.Records = append(evidence.Records, quarantine.Record{Key: quarantine.Key(record.Part), Epoch: record.Epoch})
	}
	s.guard.Observe(clock.Now(), evidence)
}
