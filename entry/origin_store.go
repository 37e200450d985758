package entry

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"knapweedhoist/fleetstate"
	"knapweedhoist/internal/contain"
	"knapweedhoist/objectapi"
	"knapweedhoist/streamorigin"
	"knapweedhoist/wire"
)

const (
	// versionsObject is the name of the object that names the versions in service. The other objects are named after an instance
	// and its boot, with a hyphen between.
	versionsObject = "versions"
	// originStoreInterval is the time between two checks whether a call is due.
	originStoreInterval = 50 * time.Millisecond
	// maxWrittenOrigins is the number of streams in the object of an instance, each of about 12 bytes.
	maxWrittenOrigins = 1 << 14
)

// eraStore is a store that may return from an older copy.
type eraStore interface {
	objectapi.Store
	// Era returns the highest era that an answer has named, 0 for none.
	Era() objectapi.Era
}

// originStore keeps origins of streams in the store. Only its loop uses it.
type originStore struct {
	lg    *slog.Logger
	store eraStore
	// era is the era of the store in which version and versionsVersion were read.
	era     objectapi.Era
	origins *origins
	// wallNow returns the estimated true time of day.
	wallNow func() time.Time
	// name is the name of this instance's object. That of an earlier boot stays until its streams are too old.
	name string
	// instances returns the number of instances, isCandidate whether this one does what one has to do for all.
	instances   func() int
	isCandidate func() bool
	schedule    *streamorigin.Schedule
	ages        streamorigin.ObjectAges
	// version is the version of the own object, 0 if it does not exist.
	version objectapi.Version
	// versions holds what the object versionsObject names, versionsVersion its version, 0 if it does not exist.
	versions        map[streamorigin.Origin]bool
	versionsVersion objectapi.Version
	reads, writes   metrics.Counter
}

func newOriginStore(
	lg *slog.Logger, store eraStore, o *origins, wallNow func() time.Time, self fleetstate.Source, spread float64, instances func() int,
	isCandidate func() bool, registry metrics.Registry,
) *originStore {
	return &originStore{
		lg: lg, store: store, origins: o, wallNow: wallNow, name: self.Instance + "-" + strconv.FormatUint(self.Boot, 36), instances: instances,
		isCandidate: isCandidate, schedule: streamorigin.NewSchedule(spread),
		reads:  metrics.NewRegisteredCounter("stream_origin_reads", registry),
		writes: metrics.NewRegisteredCounter("stream_origin_writes", registry),
	}
}

// run makes the calls that are due until ctx ends.
func (s *originStore) run(ctx context.Context) {
	ticker := time.NewTicker(originStoreInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		_ = contain.Run(s.lg, "keep stream origins in the store", func() {
			if err := s.sync(ctx); err != nil && ctx.Err() == nil {
				s.lg.Warn("stream origins not kept in the store", "error", err.Error())
			}
		})
		select {
		case <-ticker.C:
		case <-s.origins.wake:
		case <-ctx.Done():
		}
	}
}

// sync makes the call that is due.
func (s *originStore) sync(ctx context.Context) error {
	now := s.origins.now()
	directory := s.origins.directory
	s.observeEra()
	current, complete := directory.Versions(now)
	step := s.schedule.Next(now, streamorigin.Situation{
		Unread: directory.Unread(), Awaited: s.origins.awaited.Load() > 0, Mixed: directory.Mixed(), Unwritten: directory.Unwritten(),
		VersionsDiffer: complete && len(current) > 0 && !maps.Equal(current, s.versions), IsCandidate: s.isCandidate(), Instances: s.instances(),
	})
	var err error
	others := streamorigin.NoOtherObjects
	switch step {
	case streamorigin.StepNone:
		return nil
	case streamorigin.StepRead, streamorigin.StepClean:
		others, err = s.read(ctx, now, step == streamorigin.StepClean)
	case streamorigin.StepWrite:
		err = s.write(ctx, now)
	case streamorigin.StepWriteVersions:
		err = s.writeVersions(ctx, current)
	case streamorigin.StepRemove:
		err = s.remove(ctx, s.name, 0)
		if err == nil {
			s.version = 0
		}
	}
	s.schedule.Done(s.origins.now(), step, others, err)
	return err
}

// observeEra makes this instance write its objects again after a return of the store, which may have lost them.
func (s *originStore) observeEra() {
	era := s.store.Era()
	if era == s.era {
		return
	}
	s.era, s.version, s.versions, s.versionsVersion = era, 0, nil, 0
	s.origins.directory.MarkUnwritten()
}

// read learns what the objects of other instances state. It tells which of them were not deleted. If clean is set, it deletes
// streamorigin.MaxCleanDeletes of those that have been unchanged for a long time.
func (s *originStore) read(ctx context.Context, begin time.Time, clean bool) (others streamorigin.OtherObjects, err error) {
	s.reads.Inc(1)
	hashes, values := make(map[string]uint64), make(map[string]objectapi.Object)
	for after := ""; ; {
		reply, err := s.store.Do(ctx, objectapi.Request{Op: objectapi.OpList, Kind: objectapi.KindStreamOrigin, After: after})
		if err != nil {
			return others, oops.With("step", "list stream origins").Wrap(err)
		}
		for _, object := range reply.Objects {
			if object.Name != s.name {
				hashes[object.Name], values[object.Name] = xxh3.Hash(object.Value), object
			}
		}
		if after = reply.Next; after == "" {
			break
		}
	}
	changed, outdated := s.ages.Observe(s.origins.now(), hashes)
	if object, ok := values[versionsObject]; ok {
		delete(values, versionsObject)
		s.takeVersions(object, changed[versionsObject])
	}
	for name, object := range values {
		if changed[name] {
			s.take(object)
		}
	}
	s.origins.directory.Read(begin)
	s.origins.signal()
	deleted := 0
	for name, object := range values {
		if !clean || !outdated[name] {
			others = max(others, streamorigin.YoungOtherObjects)
			continue
		}
		if deleted++; deleted > streamorigin.MaxCleanDeletes {
			others = streamorigin.OutdatedOtherObjects
			break
		}
		if err := s.remove(ctx, name, object.Version); err != nil {
			return streamorigin.OutdatedOtherObjects, err
		}
		s.lg.Info("stream origins of a former boot deleted", "object", name)
	}
	return others, nil
}

// take learns the entries of another instance's object.
func (s *originStore) take(object objectapi.Object) {
	message := &wire.StreamOrigins{}
	err := proto.Unmarshal(object.Value, message)
	var statement streamorigin.Statement
	if err == nil {
		statement, err = streamorigin.Decode(message)
	}
	if err != nil {
		s.lg.Warn("stored stream origins ignored", "object", object.Name, "error", err.Error())
		return
	}
	s.origins.directory.Learn(s.origins.now(), statement.Aged(s.wallNow()))
}

// takeVersions takes over the object versionsObject. If changed is set, its versions count as in service until now.
func (s *originStore) takeVersions(object objectapi.Object, changed bool) {
	s.versions, s.versionsVersion = nil, object.Version
	message := &wire.StreamOrigins{}
	err := proto.Unmarshal(object.Value, message)
	if err == nil {
		s.versions, err = streamorigin.DecodeVersions(message)
	}
	if err != nil {
		s.lg.Warn("stored software versions ignored", "error", err.Error())
		return
	}
	if changed {
		s.origins.directory.LearnVersions(s.origins.now(), s.versions)
	}
}

// write writes the object of this instance.
func (s *originStore) write(ctx context.Context, now time.Time) error {
	entries := s.origins.directory.TakeOwn(now, maxWrittenOrigins)
	object, err := s.put(ctx, s.name, s.version, streamorigin.Encode(streamorigin.Statement{Entries: entries, WrittenAt: s.wallNow()}))
	if err == nil || errors.Is(err, objectapi.ErrConflict) {
		s.version = object.Version
	}
	if err != nil {
		s.origins.directory.MarkUnwritten()
	}
	return err
}

// writeVersions writes the versions that count.
func (s *originStore) writeVersions(ctx context.Context, current map[streamorigin.Origin]bool) error {
	object, err := s.put(ctx, versionsObject, s.versionsVersion, streamorigin.EncodeVersions(current))
	switch {
	case err == nil:
		s.versions, s.versionsVersion = current, object.Version
	case errors.Is(err, objectapi.ErrConflict): // this instance knows which versions still count
		s.takeVersions(object, false)
	}
	return err
}

// put writes an object at the given version, 0 if it does not exist. With ErrConflict it returns the present object; its version
// is 0 if there is none.
func (s *originStore) put(ctx context.Context, name string, version objectapi.Version, message *wire.StreamOrigins) (objectapi.Object, error) {
	value, err := proto.Marshal(message)
	if err != nil {
		return objectapi.Object{}, oops.With("step", "encode stream origins").Wrap(err)
	}
	s.writes.Inc(1)
	request := objectapi.Update(objectapi.KindStreamOrigin, name, version, value)
	if version == 0 {
		request = objectapi.Create(objectapi.KindStreamOrigin, name, value)
	}
	reply, err := s.store.Do(ctx, request)
	if err != nil {
		err = oops.With("step", "write stream origins", "object", name).Wrap(err)
	}
	return reply.Object, err
}

// remove deletes an object unless it has changed since the given version; 0 deletes any.
func (s *originStore) remove(ctx context.Context, name string, version objectapi.Version) error {
	s.writes.Inc(1)
	request := objectapi.Request{
		Op: objectapi.OpDelete, Kind: objectapi.KindStreamOrigin, Name: name, Condition: objectapi.Condition{IfVersion: version},
	}
	if _, err := s.store.Do(ctx, request); err != nil && !errors.Is(err, objectapi.ErrNotFound) && !errors.Is(err, objectapi.ErrConflict) {
		return oops.With("step", "delete stream origins", "object", name).Wrap(err)
	}
	return nil
}
