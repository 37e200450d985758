package objectrelay

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

// encodeReply returns a reply as a wire message. Its age is at least 1 ms, since readers refuse a message without an age.
func encodeReply(reply objectapi.Reply) *wire.RelayedObjects {
	message := &wire.RelayedObjects{Version: uint64(reply.Version), AgeMs: max(ceilMilliseconds(reply.Age), 1)}
	for _, object := range reply.Objects {
		message.Objects = append(message.Objects, encodeObject(object))
	}
	for _, event := range reply.Events {
		message.Changes = append(message.Changes, &wire.RelayedChange{Object: encodeObject(event.Object), Deleted: event.Deleted})
	}
	return message
}

// ceilMilliseconds rounds d up to whole milliseconds, so that a copy never reports a lower age than it has.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func encodeObject(object objectapi.Object) *wire.RelayedObject {
	return &wire.RelayedObject{Name: object.Name, Version: uint64(object.Version), Value: object.Value}
}

// decodeReply returns the reply of a wire message, with objects of the given kind.
func decodeReply(message *wire.RelayedObjects, kind objectapi.Kind) objectapi.Reply {
	reply := objectapi.Reply{
		Version: objectapi.Version(message.Version), Age: time.Duration(message.AgeMs) * time.Millisecond,
	}
	for _, object := range message.Objects {
		reply.Objects = append(reply.Objects, decodeObject(object, kind))
	}
	for _, change := range message.Changes {
		reply.Events = append(reply.Events, objectapi.WatchEvent{
			Object: decodeObject(change.GetObject(), kind), Deleted: change.Deleted,
		})
	}
	return reply
}

func decodeObject(object *wire.RelayedObject, kind objectapi.Kind) objectapi.Object {
	return objectapi.Object{
		Kind: kind, Name: object.GetName(), Version: objectapi.Version(object.GetVersion()), Value: object.GetValue(),
	}
}

// statusCode returns the HTTP status of an error of a Copy.
func statusCode(err error) int {
	if errors.Is(err, objectapi.ErrCompacted) {
		return fasthttp.StatusGone
	}
	return fasthttp.StatusServiceUnavailable
}
