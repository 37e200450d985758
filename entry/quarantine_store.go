package entry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
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
	// crashWriteGap is the shortest time between two writes of an instance that only crashes call for.
	crashWriteGap = time.Second
)

// quarantineStore keeps the quarantines and recent crashes in the store, so that they outlive a restart of all instances.
type quarantineStore struct {
	lg        *slog.Logger
	store     objectapi.Store
	guard     *quarantine.Guard
	createdAt time.Time
	// changed is set when the quarantines have changed since the last write.
	changed atomic.Bool
	// missed is set once a read at the start has failed: what happened while the store was away may be known to nobody.
	missed atomic.Bool
	// loaded is set once the object was read; version is its version, 0 if it does not exist.
	loaded  bool
	version objectapi.Version
	// writtenAt is the time of the last write, writtenCrashes the keyCounts of its crashes.
	writtenAt      time.Time
	writtenCrashes map[uint64]int
}

func newQuarantineStore(lg *slog.Logger, store objectapi.Store, guard *quarantine.Guard) *quarantineStore {
	return &quarantineStore{lg: lg, store: store, guard: guard, createdAt: clock.Now()}
}

// quarantineRecord is one entry of the object: a quarantine or a crash. The time of the write is not kept, since the clocks of instances
// may differ: a quarantine that is read begins anew, and a crash is as old as it was at the write.
type quarantineRecord struct {
	// Part is the quarantine.Key as a number. Epoch is 0 in the entry of a crash, which earlier versions ignore.
	Part  uint64 `json:"part"`
	Epoch int    `json:"epoch"`
	// Process, AgeMs and Keys are those of a quarantine.Crash.
	Process uint64   `json:"process,omitempty"`
	AgeMs   int64    `json:"age_ms,omitempty"`
	Keys    []uint64 `json:"keys,omitempty"`
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
			if !errors.Is(err, objectapi.ErrThrottled) {
				s.missed.Store(true)
				s.guard.ExtendCaution(clock.Now())
			}
			return err
		}
		now := clock.Now()
		s.take(now, reply.Object, now.Sub(s.createdAt))
		s.loaded = true
	}
	if !isWriter {
		return nil
	}
	now := clock.Now()
	crashes := s.guard.Unanswered(now)
	if !s.changed.Swap(false) && (now.Sub(s.writtenAt) < crashWriteGap || maps.Equal(s.writtenCrashes, keyCounts(crashes))) {
		return nil
	}
	err := s.write(ctx, now, crashes)
	if err != nil {
		s.changed.Store(true)
	}
	return err
}

// keyCounts returns the number of keys of each crash, by process. A crash calls for a write when it is new, and when a key of it is
// answered: the answer is lost with the instances.
func keyCounts(crashes []quarantine.Crash) map[uint64]int {
	counts := make(map[uint64]int, len(crashes))
	for _, crash := range crashes {
		counts[crash.Process] = len(crash.Keys)
	}
	return counts
}

// write replaces the object. If another instance has changed it, its entries are taken over first.
func (s *quarantineStore) write(ctx context.Context, now time.Time, crashes []quarantine.Crash) error {
	value, err := json.Marshal(s.records(now, crashes))
	if err != nil {
		return err
	}
	request := objectapi.Request{Op: objectapi.OpPut, Kind: objectapi.KindQuarantine, Name: quarantineObject, Value: value}
	request.Condition = objectapi.Condition{IfVersion: s.version, IfAbsent: s.version == 0}
	reply, err := s.store.Do(ctx, request)
	if errors.Is(err, objectapi.ErrConflict) {
		s.take(now, reply.Object, 0)
		s.changed.Store(true)
		return nil
	}
	if err == nil {
		s.version, s.writtenAt, s.writtenCrashes = reply.Object.Version, now, keyCounts(crashes)
	}
	return err
}

// records returns the quarantines in force and the given crashes.
func (s *quarantineStore) records(now time.Time, crashes []quarantine.Crash) []quarantineRecord {
	records := []quarantineRecord{}
	for _, record := range s.guard.Own(now).Records {
		if !record.Lifted {
			records = append(records, quarantineRecord{Part: uint64(record.Key), Epoch: record.Epoch})
		}
	}
	for _, crash := range crashes {
		record := quarantineRecord{Process: crash.Process, AgeMs: crash.Age.Milliseconds()}
		for _, key := range crash.Keys {
			record.Keys = append(record.Keys, uint64(key))
		}
		records = append(records, record)
	}
	return records
}

// take adds the quarantines and crashes of the object to those of this instance. The crashes are at least minAge old.
func (s *quarantineStore) take(now time.Time, object objectapi.Object, minAge time.Duration) {
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
	for _, record := range records[:min(len(records), quarantine.MaxRecords+quarantine.MaxCrashes)] {
		if record.Epoch > 0 {
			evidence.Records = append(evidence.Records, quarantine.Record{Key: quarantine.Key(record.Part), Epoch: record.Epoch})
			continue
		}
		crash := quarantine.Crash{Process: record.Process, Age: minAge + time.Duration(max(record.AgeMs, 0))*time.Millisecond}
		for _, key := range record.Keys {
			crash.Keys = append(crash.Keys, quarantine.Key(key))
		}
		evidence.Crashes = append(evidence.Crashes, crash)
	}
	s.guard.Observe(now, evidence)
}
