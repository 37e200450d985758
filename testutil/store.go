package testutil

import (
	"errors"
	"math/rand"
	"slices"
	"sort"
	"strings"
	"time"

	"knapweedhoist/internal/undolog"
	"knapweedhoist/objectapi"
)

// Store is an in-memory object API that injects faults. It runs under a simulated clock and is not safe for concurrent
// use.
type Store struct {
	rng              *rand.Rand
	faults           Faults
	queue            queue
	outage           bool
	version          objectapi.Version
	compactedVersion objectapi.Version // watches that start before this version are answered with ErrCompacted
	objects          map[string]objectapi.Object
	history          []objectapi.WatchEvent
	versions         []objectapi.Version // versions[i] is the store version of history[i]
	pendingWatches   []*watch
	dueReplies       []Delivery
	// era rises with each Restore. undo has the latest changes.
	era  objectapi.Era
	undo undolog.Log
	// Injected counts the injected faults by name; Calls counts the submitted calls by operation.
	Injected map[string]int
	Calls    map[string]int
}

type watch struct {
	caller   string
	call     objectapi.Call
	deadline time.Time
}

// NewStore returns an empty Store.
func NewStore(rng *rand.Rand, faults Faults) *Store {
	return &Store{
		rng: rng, faults: faults, version: 1, objects: make(map[string]objectapi.Object),
		Injected: make(map[string]int), Calls: make(map[string]int),
	}
}

// SetOutage starts or ends an outage. During an outage, calls that reach the store are answered with ErrUnavailable and
// have no effect.
func (s *Store) SetOutage(on bool) {
	if on && !s.outage {
		s.Injected["outage"]++
	}
	s.outage = on
}

// SetFaults replaces the fault configuration. The shares apply to calls submitted later, the delays also to the
// replies of pending calls.
func (s *Store) SetFaults(faults Faults) { s.faults = faults }

// Compact discards the watch history, so that watches from an earlier version are answered with ErrCompacted.
func (s *Store) Compact() {
	s.Injected["compaction"]++
	s.compactedVersion = s.version
	s.history, s.versions = nil, nil
}

// Restore returns to the copy that was current age before now: later changes are taken back and their versions given out
// again. The era rises by one. Calls without an effect so far have theirs on the copy.
func (s *Store) Restore(now time.Time, age time.Duration) {
	s.Injected["return"]++
	s.era++
	s.version = s.undo.Undo(now.Add(-age), s.version, func(former objectapi.Object) {
		if former.Version == 0 {
			delete(s.objects, key(former.Kind, former.Name))
		} else {
			s.objects[key(former.Kind, former.Name)] = former
		}
	})
	kept := sort.Search(len(s.versions), func(i int) bool { return s.versions[i] > s.version })
	s.history, s.versions = s.history[:kept:kept], s.versions[:kept:kept]
	s.compactedVersion = min(s.compactedVersion, s.version)
	s.notifyWatches(now)
}

// Era returns the era of the history, which is the number of calls of Restore.
func (s *Store) Era() objectapi.Era { return s.era }

// Object returns the stored object and whether it exists.
func (s *Store) Object(kind objectapi.Kind, name string) (objectapi.Object, bool) {
	object, ok := s.objects[key(kind, name)]
	return object, ok
}

// Objects returns the stored objects of the kind whose names start with prefix, sorted by name.
func (s *Store) Objects(kind objectapi.Kind, prefix string) []objectapi.Object {
	var found []objectapi.Object
	for _, object := range s.objects {
		if object.Kind == kind && strings.HasPrefix(object.Name, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

// Submit schedules the calls that are made at the time now. Their replies are addressed to caller, for example an instance
// id.
func (s *Store) Submit(now time.Time, caller string, calls ...objectapi.Call) {
	for _, call := range calls {
		call.Request.Value = slices.Clone(call.Request.Value)
		s.Calls[call.Request.Op.String()]++
		s.schedule(now, caller, call)
	}
}

// Advance applies the effects that are due at now and returns the replies that are due, in order of time.
func (s *Store) Advance(now time.Time) []Delivery {
	s.queue.runUntil(now)
	s.expireWatches(now)
	due := s.dueReplies
	s.dueReplies = nil
	return due
}

func (s *Store) schedule(now time.Time, caller string, call objectapi.Call) {
	effect := now.Add(s.delay())
	write := call.Request.Op == objectapi.OpPut || call.Request.Op == objectapi.OpDelete
	switch draw := s.rng.Float64(); {
	case draw < s.faults.Throttle:
		s.Injected["throttle"]++
		s.reply(effect, caller, call.ID, objectapi.Reply{}, objectapi.ErrThrottled)
	case draw < s.faults.Throttle+s.faults.Drop:
		s.Injected["drop"]++
		s.reply(effect, caller, call.ID, objectapi.Reply{}, objectapi.ErrUnavailable)
	case write && draw < s.faults.Throttle+s.faults.Drop+s.faults.Late:
		s.Injected["late effect"]++
		s.reply(effect, caller, call.ID, objectapi.Reply{}, objectapi.ErrUnavailable)
		late := effect.Add(time.Duration(s.rng.Int63n(int64(s.faults.MaxLate) + 1)))
		s.queue.add(late, func(at time.Time) { _, _ = s.apply(at, call.Request) })
	case write && draw < s.faults.Throttle+s.faults.Drop+s.faults.Late+s.faults.LoseReply:
		s.Injected["lost reply"]++
		s.queue.add(effect, func(at time.Time) {
			_, _ = s.apply(at, call.Request)
			s.reply(at.Add(s.delay()), caller, call.ID, objectapi.Reply{}, objectapi.ErrUnavailable)
		})
	default:
		s.queue.add(effect, func(at time.Time) { s.execute(at, caller, call) })
	}
}

func (s *Store) execute(at time.Time, caller string, call objectapi.Call) {
	if s.outage {
		s.reply(at.Add(s.delay()), caller, call.ID, objectapi.Reply{}, objectapi.ErrUnavailable)
		return
	}
	if call.Request.Op == objectapi.OpWatch {
		w := &watch{caller: caller, call: call, deadline: at.Add(call.Request.Wait)}
		if !s.answerWatch(at, w, false) {
			s.pendingWatches = append(s.pendingWatches, w)
		}
		return
	}
	reply, err := s.apply(at, call.Request)
	if !errors.Is(err, objectapi.ErrUnavailable) {
		reply.Era = s.era
	}
	s.reply(at.Add(s.delay()), caller, call.ID, reply, err)
}

func (s *Store) apply(at time.Time, request objectapi.Request) (objectapi.Reply, error) {
	if s.outage {
		return objectapi.Reply{}, objectapi.ErrUnavailable
	}
	switch request.Op {
	case objectapi.OpGet:
		return s.get(request)
	case objectapi.OpList:
		return s.list(request), nil
	default:
		reply, err := s.write(at, request)
		if err == nil {
			s.notifyWatches(at)
		}
		return reply, err
	}
}

func (s *Store) get(request objectapi.Request) (objectapi.Reply, error) {
	object, ok := s.objects[key(request.Kind, request.Name)]
	if !ok {
		return objectapi.Reply{Version: s.version}, objectapi.ErrNotFound
	}
	return objectapi.Reply{Object: object, Version: s.version}, nil
}

func (s *Store) list(request objectapi.Request) objectapi.Reply {
	reply := objectapi.Reply{Version: s.version}
	for _, object := range s.Objects(request.Kind, request.Name) {
		if object.Name <= request.After {
			continue
		}
		if request.Limit > 0 && len(reply.Objects) == request.Limit {
			reply.Next = reply.Objects[len(reply.Objects)-1].Name
			break
		}
		reply.Objects = append(reply.Objects, object)
	}
	return reply
}

func (s *Store) write(at time.Time, request objectapi.Request) (objectapi.Reply, error) {
	current, exists := s.objects[key(request.Kind, request.Name)]
	if request.Condition.IfAbsent && exists {
		return objectapi.Reply{Object: current, Version: s.version}, objectapi.ErrConflict
	}
	if request.Condition.IfVersion != 0 && current.Version != request.Condition.IfVersion {
		return objectapi.Reply{Object: current, Version: s.version}, objectapi.ErrConflict
	}
	if request.Op == objectapi.OpDelete && !exists {
		return objectapi.Reply{Version: s.version}, objectapi.ErrNotFound
	}
	current.Kind, current.Name = request.Kind, request.Name
	s.undo.Add(at, current, s.version)
	s.version++
	object := objectapi.Object{Kind: request.Kind, Name: request.Name, Version: s.version, Value: request.Value}
	if request.Op == objectapi.OpDelete {
		delete(s.objects, key(request.Kind, request.Name))
	} else {
		s.objects[key(request.Kind, request.Name)] = object
	}
	s.history = append(s.history, objectapi.WatchEvent{Deleted: request.Op == objectapi.OpDelete, Object: object})
	s.versions = append(s.versions, s.version)
	return objectapi.Reply{Object: object, Version: s.version}, nil
}

func (s *Store) notifyWatches(at time.Time) {
	s.pendingWatches = slices.DeleteFunc(s.pendingWatches, func(w *watch) bool { return s.answerWatch(at, w, false) })
}

func (s *Store) expireWatches(now time.Time) {
	s.pendingWatches = slices.DeleteFunc(s.pendingWatches, func(w *watch) bool {
		return !now.Before(w.deadline) && s.answerWatch(now, w, true)
	})
}

// answerWatch schedules a reply to the watch and returns true when there are events of its kind after its version, its
// version is compacted, or it has expired; otherwise it returns false.
func (s *Store) answerWatch(at time.Time, w *watch, expired bool) bool {
	if w.call.Request.From.Version < s.compactedVersion || w.call.Request.From.Version > s.version {
		s.reply(at.Add(s.delay()), w.caller, w.call.ID, objectapi.Reply{Era: s.era}, objectapi.ErrCompacted)
		return true
	}
	reply := objectapi.Reply{Version: s.version, Era: s.era}
	for i, event := range s.history {
		if s.versions[i] > w.call.Request.From.Version && event.Object.Kind == w.call.Request.Kind {
			reply.Events = append(reply.Events, event)
		}
	}
	if len(reply.Events) == 0 && !expired {
		return false
	}
	s.reply(at.Add(s.delay()), w.caller, w.call.ID, reply, nil)
	return true
}

func (s *Store) reply(at time.Time, caller string, id uint64, reply objectapi.Reply, err error) {
	s.queue.add(at, func(at time.Time) {
		s.dueReplies = append(s.dueReplies, Delivery{At: at, To: caller, Done: objectapi.CallResult{ID: id, Reply: reply, Err: err}})
	})
}

func (s *Store) delay() time.Duration {
	spread := s.faults.MaxDelay - s.faults.MinDelay
	if spread <= 0 {
		return s.faults.MinDelay
	}
	return s.faults.MinDelay + time.Duration(s.rng.Int63n(int64(spread)))
}

func key(kind objectapi.Kind, name string) string { return string(kind) + "/" + name }
