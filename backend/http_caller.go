package backend

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/boundedbuffer"
	"knapweedhoist/internal/httpconn"
	"knapweedhoist/request"
)

// HTTPCaller is a Caller over HTTP. It is safe for concurrent use.
type HTTPCaller struct {
	// pooled reuses connections, for calls that may be repeated.
	pooled *fasthttp.Client
	// single opens a connection for each call that must not be repeated: on a pooled connection that the endpoint has
	// closed meanwhile, the outcome of such a call would be unknown.
	single *fasthttp.Client
	// memory bounds the bodies of answers that are being read.
	memory *boundedbuffer.Memory
}

// Timeouts and limits of HTTPCaller.
const (
	dialTimeout = 2 * time.Second
	maxIdleTime = 30 * time.Second
	// maxEndpointConns bounds the connections of each client to one endpoint.
	maxEndpointConns = 1024
	// maxStaleConns bounds the pooled connections that one call tries and finds unusable.
	maxStaleConns = 8
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 16 << 10
	// maxAnswerMemory bounds the bodies of all answers that are being read, in bytes.
	maxAnswerMemory = 64 << 20
)

// NewHTTPCaller returns an HTTPCaller without open connections.
func NewHTTPCaller() *HTTPCaller {
	return &HTTPCaller{pooled: newClient(), single: newClient(), memory: boundedbuffer.NewMemory(maxAnswerMemory)}
}

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			connection, err := fasthttp.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, errors.Join(ErrUnsent, err)
			}
			return httpconn.New(connection), nil
		},
		// Only the Runner retries calls that were sent.
		MaxIdemponentCallAttempts: maxStaleConns + 1,
		RetryIfErr: func(_ *fasthttp.Request, _ int, err error) (bool, bool) {
			return false, errors.Is(err, httpconn.ErrStale)
		},
		MaxConnsPerHost:               maxEndpointConns,
		MaxIdleConnDuration:           maxIdleTime,
		StreamResponseBody:            true,
		ReadBufferSize:                maxAnswerHeader,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
}

// Call implements Caller.
func (c *HTTPCaller) Call(ctx context.Context, address string, call OutgoingCall) (Answer, error) {
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	incoming := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(incoming)
	fillRequest(outgoing, address, call)
	incoming.SkipBody = call.Call.Method == http.MethodHead
	err := c.client(outgoing, call).DoDeadline(outgoing, incoming, deadlineOf(ctx))
	if err != nil {
		return Answer{}, oops.With("step", "call", "peer", address).Wrap(classifyError(err))
	}
	body, err := c.readBody(incoming, call.MaxAnswerBytes)
	if err != nil {
		return Answer{}, oops.With("step", "read answer", "peer", address).Wrap(classifyError(err))
	}
	if provesNotRun(incoming, body) {
		return Answer{}, oops.With("step", "call", "peer", address).Wrap(ErrRefused)
	}
	return newAnswer(incoming, body), nil
}

// readBody reads the body of an answer.
func (c *HTTPCaller) readBody(incoming *fasthttp.Response, maxBytes int) ([]byte, error) {
	if incoming.BodyStream() == nil {
		return nil, nil
	}
	buffer := boundedbuffer.New(c.memory, boundedbuffer.FreeBytes)
	defer buffer.Release()
	return buffer.ReadAll(incoming.BodyStream(), maxBytes)
}

func (c *HTTPCaller) client(outgoing *fasthttp.Request, call OutgoingCall) *fasthttp.Client {
	if call.Repeatable {
		return c.pooled
	}
	outgoing.SetConnectionClose()
	return c.single
}

// fallbackTimeout bounds a call whose context has no deadline; the contexts of requests always have one.
const fallbackTimeout = time.Minute

func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(fallbackTimeout)
}

func fillRequest(outgoing *fasthttp.Request, address string, call OutgoingCall) {
	uri := "http://" + address + call.Call.Path
	if call.Call.Query != "" {
		uri += "?" + call.Call.Query
	}
	outgoing.SetRequestURI(uri)
	outgoing.URI().DisablePathNormalizing = true
	outgoing.Header.SetMethod(call.Call.Method)
	for _, field := range call.Call.Header {
		outgoing.Header.Add(field.Name, field.Value)
	}
	outgoing.Header.Set("X-Request-Id", call.RequestID)
	outgoing.Header.Set("X-Attempt", strconv.Itoa(call.Attempt))
	outgoing.SetBodyRaw(call.Call.Body)
}

// classifyError maps an error of the HTTP client to the error of this package that states whether the call was sent.
func classifyError(err error) error {
	switch {
	case errors.Is(err, ErrUnsent), errors.Is(err, httpconn.ErrStale), errors.Is(err, fasthttp.ErrNoFreeConns),
		errors.Is(err, fasthttp.ErrDialTimeout):
		return errors.Join(ErrUnsent, err)
	case errors.Is(err, boundedbuffer.ErrTooLarge):
		return ErrAnswerTooLarge
	default:
		return errors.Join(ErrBroken, err)
	}
}

// provesNotRun reports whether the answer is a 503 or 429 with a problem document whose outcome is not_run. Without
// the document, a 503 or 429 does not prove that the call did not run.
func provesNotRun(incoming *fasthttp.Response, body []byte) bool {
	if incoming.StatusCode() != http.StatusServiceUnavailable && incoming.StatusCode() != http.StatusTooManyRequests {
		return false
	}
	if !strings.HasPrefix(string(incoming.Header.ContentType()), "application/problem+json") {
		return false
	}
	var document struct {
		Outcome request.Outcome `json:"outcome"`
	}
	return json.Unmarshal(body, &document) == nil && document.Outcome == request.OutcomeNotRun
}

// unforwardedHeaders holds the header fields of an answer that the gateway does not forward to the caller: those of the
// connection (RFC 9110, section 7.6.1), and those that the gateway sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Date": true, "X-Request-Id": true,
}

func newAnswer(incoming *fasthttp.Response, body []byte) Answer {
	connectionOptions := strings.Split(strings.ToLower(string(incoming.Header.Peek("Connection"))), ",")
	answer := Answer{Status: incoming.StatusCode(), Body: body}
	for name, value := range incoming.Header.All() {
		field := request.Field{Name: string(name), Value: string(value)}
		if !unforwardedHeaders[field.Name] && !containsOption(connectionOptions, field.Name) {
			answer.Header = append(answer.Header, field)
		}
	}
	return answer
}

func containsOption(options []string, name string) bool {
	for _, option := range options {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}
