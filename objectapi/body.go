package objectapi

// PutBody is the JSON body of a PUT.
type PutBody struct {
	Value []byte `json:"value"`
}

// ReplyBody is the JSON body of every reply; the fields are those of Reply.
// Object is absent when there is none.
type ReplyBody struct {
	Object  *Object      `json:"object,omitempty"`
	Objects []Object     `json:"objects,omitempty"`
	Next    string       `json:"next,omitempty"`
	Events  []WatchEvent `json:"events,omitempty"`
	Version Version      `json:"version"`
}

// NewReplyBody returns the body of reply.
func NewReplyBody(reply Reply) ReplyBody {
	body := ReplyBody{Objects: reply.Objects, Next: reply.Next, Events: reply.Events, Version: reply.Version}
	if reply.Object.Version != 0 {
		body.Object = &reply.Object
	}
	return body
}

// Reply returns the reply that b describes.
func (b ReplyBody) Reply() Reply {
	reply := Reply{Objects: b.Objects, Next: b.Next, Events: b.Events, Version: b.Version}
	if b.Object != nil {
		reply.Object = *b.Object
	}
	return reply
}
