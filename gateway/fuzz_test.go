package gateway

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"knapweedhoist/request"
)

// Guards against panics, and against a key whose bare and quoted forms are
// parsed differently.
func FuzzIdempotencyKey(f *testing.F) {
	for _, seed := range []string{
		`"abc"`, `abc`, `"a\"b"`, `"a\\b"`, `"a\b"`, `"`, `""`, ``, ` "a" `, `"a" b`, `a b`, `"é"`, "\"a\x00\"", `"a\`,
		`8e03978e-40d5-43e8-bc93-6894a57f9324`, strings.Repeat("k", 255), strings.Repeat("k", 256), `"a";x=1`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := parseIdempotencyKey(text)
		if err != nil {
			return
		}
		if key == "" || len(key) > maxKeyBytes {
			t.Fatalf("%q was read as %q", text, key)
		}
		quoted := `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(key) + `"`
		if again, err := parseIdempotencyKey(quoted); err != nil || again != key {
			t.Fatalf("%q was read as %q, its quoted form as %q: %v", text, key, again, err)
		}
	})
}

// Guards against panics and against accepting completions outside the limits.
func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`,
		`{"model":"m","messages":[{"role":"user","content":null}],"max_tokens":-1}`,
		`{"model":"m","messages":[{"role":"user"}],"max_completion_tokens":99999999999}`,
		`{"model":"m","messages":[{}]}`, `{"model":1}`, `[]`, `null`, ``, `{`, `{"messages":null,"n":2}`,
		`{"model":"m","messages":` + strings.Repeat("[", 10000), "{\"model\":\"\xff\",\"messages\":[{\"role\":\"u\",\"content\":\"\xff\"}]}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req, _, err := parseCompletion(data)
		if err != nil {
			return
		}
		if req.Model == "" || len(req.Messages) == 0 || len(req.Messages) > maxMessages {
			t.Fatalf("accepted a completion without a model or with a wrong number of messages: %q", data)
		}
		if req.MaxTokens < 0 || req.MaxTokens > maxOutputTokens {
			t.Fatalf("accepted a completion with max_tokens %d", req.MaxTokens)
		}
	})
}

// Guards against accepting more than one text form of the same event id.
func FuzzEventID(f *testing.F) {
	for _, seed := range []string{"0", "1", "01", "+1", "-1", "", "1099511627776", "1099511627777", "1e3", "٣", " 1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := parseEventID(text)
		if err == nil && (id > maxEventID || strconv.FormatUint(id, 10) != text) {
			t.Fatalf("%q was read as %d", text, id)
		}
	})
}

// Guards against tokens that break the server-sent event framing or the JSON of a chunk.
func FuzzChunk(f *testing.F) {
	for _, seed := range []string{"a", "", "\n\n", `"`, `\`, "\x00", "\xff", "é", "\u2028", "data: [DONE]\n\n", "</script>"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		encoder := newChunkEncoder(answerMetadata{id: "i", model: "m", created: 1})
		out := string(encoder.append(nil, request.Event{ID: 7, Token: []byte(token)}))
		data, found := strings.CutPrefix(out, "id: 7\ndata: ")
		if !found || strings.Count(out, "\n") != 3 || !strings.HasSuffix(out, "\n\n") {
			t.Fatalf("not framed as one server-sent event: %q", out)
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(strings.TrimSpace(data)), &chunk); err != nil {
			t.Fatal(err)
		}
		if utf8.ValidString(token) && chunk.Choices[0].Delta.Content != token {
			t.Fatalf("%q became %q", token, chunk.Choices[0].Delta.Content)
		}
	})
}
