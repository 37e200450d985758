package streamorigin

import "time"

// minReadInterval is the shortest time between two reads of an instance.
const minReadInterval = 100 * time.Millisecond

const (
	// minWriteInterval is the shortest time between two writes of an instance.
	minWriteInterval = 250 * time.Millisecond
	// writesPerSecond bounds the writes of all instances together, readsPerSecond their reads.
	writesPerSecond = 100
	readsPerSecond  = 1000
	// outdatedAge is how long an object of another instance has to be unchanged before it is deleted: its streams can no longer be
	// taken up, also if the object was read late.
	outdatedAge = 2 * Lifetime
	// MaxCleanDeletes is the number of objects that one clean-up deletes at most, cleanInterval the time to the next one if there are
	// more.
	MaxCleanDeletes = 10
	cleanInterval   = time.Second
)

// OtherObjects tells which objects of other instances there are after a read.
type OtherObjects uint8

// Values of OtherObjects.
const (
	NoOtherObjects OtherObjects = iota
	// YoungOtherObjects means that there are some that may be needed, OutdatedOtherObjects that there are some to be deleted.
	YoungOtherObjects
	OutdatedOtherObjects
)

// Step is what an instance has to do about the entries in the store.
type Step uint8

// Steps of a Schedule.
const (
	StepNone Step = iota
	// StepRead reads the objects of all instances.
	StepRead
	// StepWrite writes the object of this instance, StepRemove deletes it.
	StepWrite
	StepRemove
	// StepWriteVersions writes the object that names the versions in service.
	StepWriteVersions
	// StepClean reads the objects of all instances and deletes at most MaxCleanDeletes that were unchanged for a long time.
	StepClean
)

// Situation is what decides on the next Step.
type Situation struct {
	// Unread is set if the objects have to be read before versions are known to be complete, Awaited if a caller waits for a
	// stream that is not known.
	Unread, Awaited bool
	// Mixed is set while several versions of a service count, Unwritten if streams have begun here since the last write.
	Mixed, Unwritten bool
	// VersionsDiffer is set if the object that names the versions in service is outdated.
	VersionsDiffer bool
	// IsCandidate is set at the instances that do what one has to do for all.
	IsCandidate bool
	// Instances is the number of instances in the deployment.
	Instances int
}

// Schedule decides when an instance calls the store. Without a mix of versions it makes no call beyond one read after the start and
// after each loss of the store. It is not safe for concurrent use.
type Schedule struct {
	// readAt and wroteAt are the times of the last read and write, mixedAt the last one with a mix of versions.
	readAt, wroteAt, mixedAt time.Time
	// written is set while the object of this instance exists.
	written bool
	// others tells which objects of other instances there may be.
	others OtherObjects
	// reading and writing space the calls after failed ones. A store may refuse writes and answer reads.
	reading, writing callBackoff
	// spread is the part of the time in which all instances make one call that this one waits first, in [0, 1).
	spread float64
	// unreadSince and unwrittenSince are the times since which a read and a write have been due.
	unreadSince, unwrittenSince time.Time
}

// NewSchedule returns a Schedule. spread is a random number in [0, 1), by which the calls of the instances are spread.
func NewSchedule(spread float64) *Schedule { return &Schedule{spread: spread} }

// ReadInterval is the shortest time between two reads of an instance of so many.
func ReadInterval(instances int) time.Duration {
	return max(minReadInterval, time.Duration(instances)*time.Second/readsPerSecond)
}

// writeInterval is the shortest time between two writes of an instance of so many.
func writeInterval(instances int) time.Duration {
	return max(minWriteInterval, time.Duration(instances)*time.Second/writesPerSecond)
}

// observe sets since to now if it begins to apply, and to the zero time if it does not apply.
func observe(now time.Time, since *time.Time, applies bool) {
	if !applies {
		*since = time.Time{}
	} else if since.IsZero() {
		*since = now
	}
}

// Next returns the step that is due.
func (s *Schedule) Next(now time.Time, in Situation) Step {
	if in.Mixed {
		s.mixedAt, s.others = now, max(s.others, YoungOtherObjects)
	}
	observe(now, &s.unreadSince, in.Unread)
	observe(now, &s.unwrittenSince, in.Mixed && in.Unwritten)
	canRead := now.Sub(s.readAt) >= ReadInterval(in.Instances)
	canWrite := now.Sub(s.wroteAt) >= writeInterval(in.Instances)
	readSpread := time.Duration(s.spread * float64(ReadInterval(in.Instances)))
	writeSpread := time.Duration(s.spread * float64(writeInterval(in.Instances)))
	cleanAge := outdatedAge
	if s.others == OutdatedOtherObjects {
		cleanAge = cleanInterval
	}
	canRead, canWrite = canRead && s.reading.allows(now), canWrite && s.writing.allows(now)
	switch {
	case canRead && (in.Awaited || in.Unread && now.Sub(s.unreadSince) >= readSpread):
		return StepRead
	case canWrite && in.Mixed && in.Unwritten && now.Sub(s.unwrittenSince) >= writeSpread:
		return StepWrite
	case canWrite && in.IsCandidate && in.VersionsDiffer:
		return StepWriteVersions
	case canWrite && s.written && !in.Mixed && now.Sub(s.mixedAt) >= writeSpread:
		return StepRemove
	case canRead && canWrite && in.IsCandidate && s.others > NoOtherObjects && now.Sub(s.mixedAt) >= outdatedAge && now.Sub(s.readAt) >= cleanAge:
		return StepClean
	default:
		return StepNone
	}
}

// Done records the end of a step. others tells which objects of other instances were read and not deleted.
func (s *Schedule) Done(now time.Time, step Step, others OtherObjects, err error) {
	switch step {
	case StepRead:
		s.readAt = now
		s.reading.done(now, err)
	case StepClean:
		s.readAt = now
		s.writing.done(now, err)
	default:
		s.wroteAt = now
		s.writing.done(now, err)
	}
	if step == StepWrite {
		s.written = true // a write without an answer may have taken effect
	}
	if err != nil {
		return
	}
	switch step {
	case StepRemove:
		s.written = false
	case StepRead:
		s.others = max(s.others, others)
	case StepClean:
		s.others = others
	}
}
