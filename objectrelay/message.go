package objectrelay

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

func messageOf(reply objectapi.Reply) *wire.RelayedObjects {
	message := &wire.RelayedObjects{Version: uint64(reply.Version), AgeMs: roundUp(reply.Age)}
	for _, object := range reply.Objects {
		message.Objects = append(message.Objects, relayed(object))
	}
	for _, event := range reply.Events {
		message.Changes = append(message.Changes, &wire.RelayedChange{Object: relayed(event.Object), Deleted: event.Deleted})
	}
	return message
}

// roundUp returns whole milliseconds that are not below d, so that a copy never looks younger than it is.
func roundUp(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func relayed(object objectapi.Object) *wire.RelayedObject {
	return &wire.RelayedObject{Name: object.Name, Version: uint64(object.Version), Value: object.Value}
}

func replyOf(message *wire.RelayedObjects, kind objectapi.Kind) objectapi.Reply {
	reply := objectapi.Reply{
		Version: objectapi.Version(message.Version), Age: time.Duration(message.AgeMs) * time.Millisecond,
	}
	for _, object := range message.Objects {
		reply.Objects = append(reply.Objects, objectOf(object, kind))
	}
	for _, change := range message.Changes {
		reply.Events = append(reply.Events, objectapi.WatchEvent{
			Object: objectOf(change.GetObject(), kind), Deleted: change.Deleted,
		})
	}
	return reply
}

func objectOf(object *wire.RelayedObject, kind objectapi.Kind) objectapi.Object {
	return objectapi.Object{
		Kind: kind, Name: object.GetName(), Version: objectapi.Version(object.GetVersion()), Value: object.GetValue(),
	}
}

func statusOf(err error) int {
	if errors.Is(err, objectapi.ErrCompacted) {
		return fasthttp.StatusGone
	}
	return fasthttp.StatusServiceUnavailable
}
