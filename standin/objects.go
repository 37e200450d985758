package standin

import (
	"sort"
	"strings"

	"knapweedhoist/platform"
)

// Bounds of one reply; a reply that would be larger ends early, and Next or
// Version tell where to continue.
const (
	maxPageObjects = 1000
	maxPageBytes   = 8 << 20
)

// objects is the state of the object API. Its owner serialises the calls. The
// values in replies are shared with the store; callers do not change them.
type objects struct {
	version platform.Version
	kinds   map[platform.Kind]map[string]platform.Object
	// log holds the last changes, oldest first; changes up to compacted are gone.
	log       []platform.WatchEvent
	history   int
	compacted platform.Version
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newObjects(history int) *objects {
	return &objects{
		kinds:   make(map[platform.Kind]map[string]platform.Object),
		history: history,
		changed: make(chan struct{}),
	}
}

func (o *objects) run(request platform.Request) (platform.Reply, error) {
	switch request.Op {
	case platform.OpPut:
		return o.put(request)
	case platform.OpDelete:
		return o.remove(request)
	case platform.OpList:
		return o.list(request), nil
	default:
		return o.get(request)
	}
}

func (o *objects) get(request platform.Request) (platform.Reply, error) {
	object, ok := o.kinds[request.Kind][request.Name]
	if !ok {
		return platform.Reply{}, platform.ErrNotFound
	}
	return platform.Reply{Object: object}, nil
}

func (o *objects) put(request platform.Request) (platform.Reply, error) {
	current := o.kinds[request.Kind][request.Name]
	if !holds(request.Condition, current) {
		return platform.Reply{Object: current}, platform.ErrConflict
	}
	o.version++
	object := platform.Object{
		Kind: request.Kind, Name: request.Name, Version: o.version,
		Value: append([]byte(nil), request.Value...),
	}
	if o.kinds[request.Kind] == nil {
		o.kinds[request.Kind] = make(map[string]platform.Object)
	}
	o.kinds[request.Kind][request.Name] = object
	o.publish(platform.WatchEvent{Object: object})
	return platform.Reply{Object: object}, nil
}

// remove deletes an object. An object that does not exist is ErrNotFound, whatever the condition.
func (o *objects) remove(request platform.Request) (platform.Reply, error) {
	current, ok := o.kinds[request.Kind][request.Name]
	if !ok {
		return platform.Reply{}, platform.ErrNotFound
	}
	if !holds(request.Condition, current) {
		return platform.Reply{Object: current}, platform.ErrConflict
	}
	o.version++
	delete(o.kinds[request.Kind], request.Name)
	gone := platform.Object{Kind: request.Kind, Name: request.Name, Version: o.version}
	o.publish(platform.WatchEvent{Deleted: true, Object: gone})
	return platform.Reply{Object: gone}, nil
}

func holds(condition platform.Condition, current platform.Object) bool {
	if condition.IfAbsent {
		return current.Version == 0
	}
	return condition.IfVersion == 0 || condition.IfVersion == current.Version
}

func (o *objects) list(request platform.Request) platform.Reply {
	names := o.names(request)
	var reply platform.Reply
	size := 0
	for _, name := range names {
		object := o.kinds[request.Kind][name]
		size += len(object.Value)
		if len(reply.Objects) > 0 && full(len(reply.Objects), request.Limit, size) {
			reply.Next = reply.Objects[len(reply.Objects)-1].Name
			return reply
		}
		reply.Objects = append(reply.Objects, object)
	}
	return reply
}

func full(count, limit, size int) bool {
	return count >= maxPageObjects || limit > 0 && count >= limit || size > maxPageBytes
}

// names returns the names of a list request, in order.
func (o *objects) names(request platform.Request) []string {
	var names []string
	for name := range o.kinds[request.Kind] {
		if name > request.After && strings.HasPrefix(name, request.Name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (o *objects) publish(event platform.WatchEvent) {
	o.log = append(o.log, event)
	if len(o.log) > 2*o.history {
		o.compact(o.history)
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// compact keeps the last n changes.
func (o *objects) compact(n int) {
	drop := max(0, len(o.log)-n)
	if drop == 0 {
		return
	}
	o.compacted = o.log[drop-1].Object.Version
	o.log = append([]platform.WatchEvent(nil), o.log[drop:]...)
}

// events returns the changes of a kind after version from, and a channel that
// is closed at the next change of any kind.
func (o *objects) events(kind platform.Kind, from platform.Version) (platform.Reply, <-chan struct{}, error) {
	if from < o.compacted || from > o.version {
		return platform.Reply{}, nil, platform.ErrCompacted
	}
	reply := platform.Reply{Version: o.version}
	first := sort.Search(len(o.log), func(i int) bool { return o.log[i].Object.Version > from })
	size := 0
	for _, event := range o.log[first:] {
		if event.Object.Kind != kind {
			continue
		}
		size += len(event.Object.Value)
		if len(reply.Events) > 0 && full(len(reply.Events), 0, size) {
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
