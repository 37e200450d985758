package objectrelay

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

// encodeObjects returns the objects of an answer to a list. The error is that of a name that is not valid UTF-8.
func encodeObjects(objects []objectapi.Object) ([]byte, error) {
	message := &wire.RelayedObjects{}
	for _, object := range objects {
		message.Objects = append(message.Objects, encodeObject(object))
	}
	return proto.Marshal(message)
}

// encodeChanges returns the changes of an answer to a watch, with the error of encodeObjects.
func encodeChanges(events []objectapi.WatchEvent) ([]byte, error) {
	message := &wire.RelayedObjects{}
	for _, event := range events {
		message.Changes = append(message.Changes, &wire.RelayedChange{Object: encodeObject(event.Object), Deleted: event.Deleted})
	}
	return proto.Marshal(message)
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
		Version: objectapi.Version(message.Version), Era: objectapi.Era(message.Era), Age: time.Duration(message.AgeMs) * time.Millisecond,
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
