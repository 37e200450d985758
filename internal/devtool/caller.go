package devtool

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"knapweedhoist/engine"
)

// caller is an HTTP client that authenticates with a team's key. It uses net/http,
// since callers of a real deployment do not use the daemon's HTTP implementation.
type caller struct {
	team   string
	client *http.Client
	// skipEventIDCheck disables the check that event ids are consecutive, because engines number events differently.
	skipEventIDCheck bool
}

func newCaller(team string) *caller {
	return &caller{team: team, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// isReady reports whether GET /readyz of an entry instance returns 200.
func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// streamResult holds what a caller received of a streamed completion.
type streamResult struct {
	requestID    string
	tokens       []string
	lastEventID  uint64
	finishReason string
	// done is true once the [DONE] event has arrived.
	done bool
	// timeToFirstToken is the time from the start of the request to the first token.
	timeToFirstToken time.Duration
	// errorBody is the body, cut at 4096 bytes, of a response with a status other than 200, or the data of an event
	// without choices.
	errorBody        string
	skipEventIDCheck bool
}

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model     string           `json:"model"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Messages  []engine.Message `json:"messages"`
}

// promptBody returns the body of a streamed completion of prompt.
func promptBody(prompt string, maxTokens int) completionBody {
	return completionBody{
		Model: sampleModel, Stream: true, MaxTokens: maxTokens, Messages: []engine.Message{{Role: "user", Content: prompt}},
	}
}

// complete streams a completion. It calls onLine, if not nil, after each line of the response.
func (c *caller) complete(
	ctx context.Context, address string, body completionBody, onLine func(got *streamResult),
) (*streamResult, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := c.request(ctx, http.MethodPost, address, "/v1/chat/completions", bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	return c.stream(request, &streamResult{skipEventIDCheck: c.skipEventIDCheck}, onLine)
}

// resume re-attaches to a request after got.lastEventID and adds the further events to got.
func (c *caller) resume(ctx context.Context, address string, got *streamResult, onLine func(got *streamResult)) (*streamResult, error) {
	request, err := c.request(ctx, http.MethodGet, address, "/v1/requests/"+got.requestID, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Last-Event-ID", strconv.FormatUint(got.lastEventID, 10))
	return c.stream(request, got, onLine)
}

func (c *caller) request(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+teamKey(c.team))
	return request, nil
}

// errTruncated is returned when the response ends before the [DONE] event.
var errTruncated = errors.New("stream ended before [DONE]")

func (c *caller) stream(request *http.Request, got *streamResult, onLine func(*streamResult)) (*streamResult, error) {
	start := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return got, err
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get("X-Request-Id"); id != "" {
		got.requestID = id
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		got.errorBody = string(text)
		return got, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	for lines.Scan() {
		if err := got.parseLine(lines.Text(), start); err != nil {
			return got, err
		}
		if onLine != nil {
			onLine(got)
		}
	}
	if !got.done {
		return got, errors.Join(errTruncated, lines.Err())
	}
	return got, nil
}

// parseLine adds one line of a server-sent event stream to the result.
func (s *streamResult) parseLine(text string, start time.Time) error {
	if id, found := strings.CutPrefix(text, "id: "); found {
		return s.parseEventID(id)
	}
	data, found := strings.CutPrefix(text, "data: ")
	switch {
	case !found:
		return nil
	case data == "[DONE]":
		s.done = true
		return nil
	default:
		return s.parseChunk(data, start)
	}
}

func (s *streamResult) parseEventID(id string) error {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return err
	}
	if number != s.lastEventID+1 && !s.skipEventIDCheck {
		return fmt.Errorf("event id %d follows %d", number, s.lastEventID)
	}
	s.lastEventID = number
	return nil
}

func (s *streamResult) parseChunk(data string, start time.Time) error {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
		Outcome string `json:"outcome"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) == 0 {
		s.errorBody = data
		return nil
	}
	if token := chunk.Choices[0].Delta.Content; token != "" {
		if len(s.tokens) == 0 {
			s.timeToFirstToken = time.Since(start)
		}
		s.tokens = append(s.tokens, token)
	}
	if reason := chunk.Choices[0].FinishReason; reason != "" {
		s.finishReason = reason
	}
	return nil
}

// text returns the tokens as one string.
func (s *streamResult) text() string {
	return strings.Join(s.tokens, "")
}

// serviceResponse is the HTTP response of a plain service.
type serviceResponse struct {
	status int
	body   string
}

// deposit posts a deposit with an idempotency key, because a deposit must not be charged twice.
func (c *caller) deposit(ctx context.Context, address, key, body string) (serviceResponse, error) {
	path := "/services/" + samplePlainService + "/deposits"
	request, err := c.request(ctx, http.MethodPost, address, path, strings.NewReader(body))
	if err != nil {
		return serviceResponse{}, err
	}
	request.Header.Set("Idempotency-Key", `"`+key+`"`)
	response, err := c.client.Do(request)
	if err != nil {
		return serviceResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return serviceResponse{status: response.StatusCode, body: string(text)}, err
}
