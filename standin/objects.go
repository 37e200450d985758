package standin

import (
	"sort"
	"strings"
	"time"

	"knapweedhoist/internal/undolog"
	"knapweedhoist/objectapi"
)

// maxPageBytes is the maximum size of the values in one reply, except that the
// first object or event is always included. A longer reply is cut, and
// its Next or Version is the position from which to continue.
const maxPageBytes = 1 << 20

// objects is the state of the object API. It is not safe for concurrent use:
// Platform.mu guards it. Replies share their values with the store, so callers
// must not change them.
type objects struct {
	version objectapi.Version
	kinds   map[objectapi.Kind]map[string]objectapi.Object
	// log holds the latest changes, oldest first. publish keeps at least history of them.
	log     []objectapi.WatchEvent
	history int
	// pageObjects is the maximum number of objects or events in one reply.
	pageObjects int
	// compacted is the version up to which changes were discarded from log.
	compacted objectapi.Version
	// changed is closed and replaced on each change.
	changed chan struct{}
	// era rises with each restore. undo has the latest changes.
	era  objectapi.Era
	undo undolog.Log
}

func newObjects(history, pageObjects int) *objects {
	return &objects{
		kinds:   make(map[objectapi.Kind]map[string]objectapi.Object),
		history: history, pageObjects: pageObjects,
		changed: make(chan struct{}),
	}
}

func (o *objects) execute(now time.Time, request objectapi.Request) (objectapi.Reply, error) {
	switch request.Op {
	case objectapi.OpPut:
		return o.put(now, request)
	case objectapi.OpDelete:
		return o.remove(now, request)
	case objectapi.OpList:
		return o.list(request), nil
	default:
		return o.get(request)
	}
}

func (o *objects) get(request objectapi.Request) (objectapi.Reply, error) {
	object, ok := o.kinds[request.Kind][request.Name]
	if !ok {
		return objectapi.Reply{}, objectapi.ErrNotFound
	}
	return objectapi.Reply{Object: object}, nil
}

func (o *objects) put(now time.Time, request objectapi.Request) (objectapi.Reply, error) {
	current := o.kinds[request.Kind][request.Name]
	if !conditionHolds(request.Condition, current) {
		return objectapi.Reply{Object: current}, objectapi.ErrConflict
	}
	o.recordChange(now, request, current)
	object := objectapi.Object{
		Kind: request.Kind, Name: request.Name, Version: o.version,
		Value: append([]byte(nil), request.Value...),
	}
	if o.kinds[request.Kind] == nil {
		o.kinds[request.Kind] = make(map[string]objectapi.Object)
	}
	o.kinds[request.Kind][request.Name] = object
	o.publish(objectapi.WatchEvent{Object: object})
	return objectapi.Reply{Object: object}, nil
}

// remove deletes an object. For a missing object it returns ErrNotFound regardless of the condition.
func (o *objects) remove(now time.Time, request objectapi.Request) (objectapi.Reply, error) {
	current, ok := o.kinds[request.Kind][request.Name]
	if !ok {
		return objectapi.Reply{}, objectapi.ErrNotFound
	}
	if !conditionHolds(request.Condition, current) {
		return objectapi.Reply{Object: current}, objectapi.ErrConflict
	}
	o.recordChange(now, request, current)
	delete(o.kinds[request.Kind], request.Name)
	tombstone := objectapi.Object{Kind: request.Kind, Name: request.Name, Version: o.version}
	o.publish(objectapi.WatchEvent{Deleted: true, Object: tombstone})
	return objectapi.Reply{Object: tombstone}, nil
}

// recordChange prepares the change of an object whose current state is given.
func (o *objects) recordChange(now time.Time, request objectapi.Request, current objectapi.Object) {
	current.Kind, current.Name = request.Kind, request.Name
	o.undo.Add(now, current, o.version)
	o.version++
}

// restore takes back the changes after the time to, and gives their versions out again.
func (o *objects) restore(to time.Time) {
	o.version = o.undo.Undo(to, o.version, func(former objectapi.Object) {
		if former.Version == 0 {
			delete(o.kinds[former.Kind], former.Name)
		} else {
			o.kinds[former.Kind][former.Name] = former
		}
	})
	kept := sort.Search(len(o.log), func(i int) bool { return o.log[i].Object.Version > o.version })
	o.log = o.log[:kept:kept]
	o.compacted = min(o.compacted, o.version)
	o.era++
	close(o.changed)
	o.changed = make(chan struct{})
}

func conditionHolds(condition objectapi.Condition, current objectapi.Object) bool {
	if condition.IfAbsent {
		return current.Version == 0
	}
	return condition.IfVersion == 0 || condition.IfVersion == current.Version
}

func (o *objects) list(request objectapi.Request) objectapi.Reply {
	names := o.names(request)
	var reply objectapi.Reply
	size := 0
	for _, name := range names {
		object := o.kinds[request.Kind][name]
		size += len(object.Value)
		if len(reply.Objects) > 0 && o.pageFull(len(reply.Objects), request.Limit, size) {
			reply.Next = reply.Objects[len(reply.Objects)-1].Name
			return reply
		}
		reply.Objects = append(reply.Objects, object)
	}
	return reply
}

func (o *objects) pageFull(count, limit, size int) bool {
	return count >= o.pageObjects || limit > 0 && count >= limit || size > maxPageBytes
}

// names returns the sorted names that match the prefix of a list request and follow its After.
func (o *objects) names(request objectapi.Request) []string {
	var names []string
	for name := range o.kinds[request.Kind] {
		if name > request.After && strings.HasPrefix(name, request.Name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (o *objects) publish(event objectapi.WatchEvent) {
	o.log = append(o.log, event)
	if len(o.log) > 2*o.history {
		o.compact(o.history)
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// compact discards all but the latest n changes.
func (o *objects) compact(n int) {
	drop := max(0, len(o.log)-n)
	if drop == 0 {
		return
	}
	o.compacted = o.log[drop-1].Object.Version
	o.log = append([]objectapi.WatchEvent(nil), o.log[drop:]...)
}

// events returns the changes of a kind after version from, and a channel that
// is closed on the next change of any kind. It returns ErrCompacted when a
// change after from was discarded or from exceeds the current version.
func (o *objects) events(kind objectapi.Kind, from objectapi.Version) (objectapi.Reply, <-chan struct{}, error) {
	if from < o.compacted || from > o.version {
		return objectapi.Reply{Era: o.era}, nil, objectapi.ErrCompacted
	}
	reply := objectapi.Reply{Version: o.version, Era: o.era}
	first := sort.Search(len(o.log), func(i int) bool { return o.log[i].Object.Version > from })
	size := 0
	for _, event := range o.log[first:] {
		if event.Object.Kind != kind {
			continue
		}
		size += len(event.Object.Value)
		if len(reply.Events) > 0 && o.pageFull(len(reply.Events), 0, size) {
			reply.Version = reply.Events[len(reply.Events)-1].Object.Version
			return reply, o.changed, nil
		}
		reply.Events = append(reply.Events, event)
	}
	return reply, o.changed, nil
}

func (o *objects) count() int {
	n := 0
	for _, kind := range o.kinds {
		n += len(kind)
	}
	return n
}
