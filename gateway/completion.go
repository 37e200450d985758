package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// Limits of a completion body, in addition to its size.
const (
	maxMessages     = 4096
	maxOutputTokens = 1 << 20
)

// bytesPerToken is the assumed length of a token, for estimates of prompt tokens.
const bytesPerToken = 4

// completionBody is the JSON body of a completion request. Unknown members are
// ignored.
type completionBody struct {
	Model               string        `json:"model"`
	Messages            []messageBody `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
	Stream              bool          `json:"stream"`
}

type messageBody struct {
	Role    string      `json:"role"`
	Content textContent `json:"content"`
}

// textContent is the text of a message. Its JSON form is a string, or a list of
// parts of type "text", which are joined.
type textContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *textContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = textContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.New("content parts must be of type text")
		}
		joined.WriteString(part.Text)
	}
	*c = textContent(joined.String())
	return nil
}

// parseCompletion parses and validates a completion body. The second result reports
// whether the caller asked for a streamed answer.
func parseCompletion(data []byte) (*engine.Request, bool, error) {
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, false, errors.New("the body is not a valid completion request")
	}
	if err := body.validate(); err != nil {
		return nil, false, err
	}
	req := &engine.Request{Model: body.Model, MaxTokens: body.maxTokens()}
	req.Messages = make([]engine.Message, len(body.Messages))
	for i, message := range body.Messages {
		req.Messages[i] = engine.Message{Role: message.Role, Content: string(message.Content)}
	}
	return req, body.Stream, nil
}

func (b *completionBody) validate() error {
	switch {
	case b.Model == "":
		return errors.New("model is required")
	case len(b.Messages) == 0 || len(b.Messages) > maxMessages:
		return errors.New("messages must have 1 to 4096 items")
	case b.N != nil && *b.N != 1:
		return errors.New("n must be 1")
	case b.maxTokens() < 0 || b.maxTokens() > maxOutputTokens:
		return errors.New("max_tokens must be from 0 to 1048576")
	}
	for _, message := range b.Messages {
		if message.Role == "" {
			return errors.New("each message needs a role")
		}
	}
	return nil
}

// maxTokens returns the caller's limit on the output length in tokens, 0 without one. max_completion_tokens takes
// precedence over max_tokens.
func (b *completionBody) maxTokens() int {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	default:
		return 0
	}
}

// serveCompletion serves POST /v1/chat/completions.
func (s *Server) serveCompletion(ctx *fasthttp.RequestCtx) *problem {
	if !ctx.IsPost() {
		ctx.Response.Header.Set("Allow", "POST")
		return notRunProblem(http.StatusMethodNotAllowed, "route", "only POST is allowed")
	}
	entry, stream, p := s.acceptCompletion(ctx)
	if p != nil {
		return p
	}
	return s.writeAnswer(ctx, entry, 0, stream)
}

// acceptCompletion registers and starts a completion. The second result reports whether the caller asked for a streamed answer.
func (s *Server) acceptCompletion(ctx *fasthttp.RequestCtx) (*request.Entry, bool, *problem) {
	team, p := s.authenticateNewWork(ctx)
	if p != nil {
		return nil, false, p
	}
	body, buffer, p := s.readBody(ctx)
	if p != nil {
		return nil, false, p
	}
	defer buffer.Release()
	req, stream, err := parseCompletion(body)
	if err != nil {
		return nil, false, notRunProblem(http.StatusBadRequest, "parse", err.Error())
	}
	service, found := s.deps.Directory.ServiceOfModel(req.Model)
	if !found || service.Kind != catalog.KindModel {
		return nil, false, notRunProblem(http.StatusNotFound, "route", "unknown model")
	}
	if p := authorise(team, service, len(body)); p != nil {
		return nil, false, p
	}
	now := time.Now()
	deadline, p := s.parseDeadline(&ctx.Request.Header, now)
	if p != nil {
		return nil, false, p
	}
	// Requests to models can always be resumed and therefore count as idempotent.
	entry, p := s.accept(request.Spec{
		Completion: req, Stream: stream, Idempotent: true,
		PromptTokens: estimatePromptTokens(req), Received: now, Deadline: deadline,
	}, team, service)
	return entry, stream, p
}

// estimatePromptTokens estimates the length of the prompt in tokens from the number of bytes in its messages.
func estimatePromptTokens(req *engine.Request) int {
	n := 0
	for _, message := range req.Messages {
		n += len(message.Content)
	}
	return (n + bytesPerToken - 1) / bytesPerToken
}
