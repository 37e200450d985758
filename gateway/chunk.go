package gateway

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// doneMarker ends a complete streamed answer.
const doneMarker = "data: [DONE]\n\n"

// chunkEncoder encodes request events as server-sent events that carry completion
// chunks.
type chunkEncoder struct {
	metadata answerMetadata
	// head is the constant start of each chunk, up to the delta.
	head []byte
}

func newChunkEncoder(metadata answerMetadata) *chunkEncoder {
	head := []byte(`{"id":`)
	head = appendJSONString(head, metadata.id)
	head = append(head, `,"object":"chat.completion.chunk","created":`...)
	head = strconv.AppendInt(head, metadata.created, 10)
	if metadata.model != "" {
		head = append(head, `,"model":`...)
		head = appendJSONString(head, metadata.model)
	}
	head = append(head, `,"choices":[{"index":0,"delta":{`...)
	return &chunkEncoder{metadata: metadata, head: head}
}

// append appends the encoded event to out.
func (e *chunkEncoder) append(out []byte, event request.Event) []byte {
	switch {
	case event.Finish == nil:
		return e.appendToken(out, event)
	case event.Finish.Failed():
		return e.appendProblem(out, event)
	default:
		return e.appendFinish(out, event)
	}
}

// appendEventStart appends the id field of a server-sent event and the name of its
// data field.
func appendEventStart(out []byte, id uint64) []byte {
	out = append(out, "id: "...)
	out = strconv.AppendUint(out, id, 10)
	return append(out, "\ndata: "...)
}

func (e *chunkEncoder) appendToken(out []byte, event request.Event) []byte {
	out = appendEventStart(out, event.ID)
	out = append(out, e.head...)
	if event.ID == 1 {
		out = append(out, `"role":"assistant",`...)
	}
	out = append(out, `"content":`...)
	out = appendJSONBytes(out, event.Token)
	return append(out, "},\"finish_reason\":null}]}\n\n"...)
}

func (e *chunkEncoder) appendFinish(out []byte, event request.Event) []byte {
	out = appendEventStart(out, event.ID)
	out = append(out, e.head...)
	out = append(out, `},"finish_reason":`...)
	out = appendJSONString(out, event.Finish.FinishReason)
	out = append(out, "}]"...)
	if event.Finish.Usage != nil {
		out = append(out, `,"usage":`...)
		out = append(out, encodeUsage(event.Finish.Usage)...)
	}
	return append(out, "}\n\n"+doneMarker...)
}

func (e *chunkEncoder) appendProblem(out []byte, event request.Event) []byte {
	out = append(out, "event: error\n"...)
	out = appendEventStart(out, event.ID)
	out = append(out, failureProblem(e.metadata.id, event.Finish).encode()...)
	return append(out, "\n\n"...)
}

// usageBody is the JSON form of engine.Usage.
type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsageBody(usage *engine.Usage) *usageBody {
	if usage == nil {
		return nil
	}
	return &usageBody{
		PromptTokens: usage.PromptTokens, CompletionTokens: usage.CompletionTokens,
		TotalTokens: usage.PromptTokens + usage.CompletionTokens,
	}
}

func encodeUsage(usage *engine.Usage) []byte {
	encoded, err := json.Marshal(newUsageBody(usage))
	if err != nil {
		return []byte("null")
	}
	return encoded
}

// appendJSONBytes appends text as a JSON string. Valid UTF-8 without characters to
// escape, the common case for tokens, is copied without an allocation.
func appendJSONBytes(out, text []byte) []byte {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return appendJSONString(out, string(text))
		}
	}
	if !utf8.Valid(text) {
		return appendJSONString(out, string(text))
	}
	out = append(out, '"')
	out = append(out, text...)
	return append(out, '"')
}

func appendJSONString(out []byte, text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil {
		return append(out, `""`...)
	}
	return append(out, encoded...)
}
