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

	"knapweedhoist/request"
)

// HTTPCaller calls plain endpoints over HTTP. It is safe for concurrent use.
type HTTPCaller struct {
	// pooled keeps connections open, for calls that may be repeated.
	pooled *fasthttp.Client
	// single opens a connection for each call: a pooled one may have been closed by
	// the endpoint meanwhile, which leaves a call that must not be repeated unknown.
	single *fasthttp.Client
}

// Times and limits of HTTPCaller.
const (
	dialTimeout    = 2 * time.Second
	idleConnection = 30 * time.Second
	// maxEndpointConns bounds connections to one endpoint.
	maxEndpointConns = 1024
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 16 << 10
	// maxClientAnswer bounds any answer; Outgoing.MaxAnswerBytes may be lower.
	maxClientAnswer = 16 << 20
)

// NewHTTPCaller returns a Caller for HTTP endpoints.
func NewHTTPCaller() *HTTPCaller {
	return &HTTPCaller{pooled: newClient(), single: newClient()}
}

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			connection, err := fasthttp.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, errors.Join(ErrUnsent, err)
			}
			return connection, nil
		},
		// The run owns all retries.
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:               maxEndpointConns,
		MaxIdleConnDuration:           idleConnection,
		MaxResponseBodySize:           maxClientAnswer,
		ReadBufferSize:                maxAnswerHeader,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
}

// Call implements Caller.
func (c *HTTPCaller) Call(ctx context.Context, address string, call Outgoing) (Answer, error) {
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	incoming := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(incoming)
	fillRequest(outgoing, address, call)
	incoming.SkipBody = call.Call.Method == http.MethodHead
	err := c.client(outgoing, call).DoDeadline(outgoing, incoming, deadlineOf(ctx))
	if err != nil {
		return Answer{}, oops.With("step", "call", "peer", address).Wrap(classify(err))
	}
	if len(incoming.Body()) > call.MaxAnswerBytes {
		return Answer{}, oops.With("step", "call", "peer", address).Wrap(ErrAnswerTooLarge)
	}
	if provesNotRun(incoming) {
		return Answer{}, oops.With("step", "call", "peer", address).Wrap(ErrRefused)
	}
	return answerOf(incoming), nil
}

func (c *HTTPCaller) client(outgoing *fasthttp.Request, call Outgoing) *fasthttp.Client {
	if call.Repeatable {
		return c.pooled
	}
	outgoing.SetConnectionClose()
	return c.single
}

// noDeadline applies when ctx has none; requests always have one.
const noDeadline = time.Minute

func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(noDeadline)
}

func fillRequest(outgoing *fasthttp.Request, address string, call Outgoing) {
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

// classify tells what an error proves about the call.
func classify(err error) error {
	switch {
	case errors.Is(err, ErrUnsent), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, fasthttp.ErrDialTimeout):
		return errors.Join(ErrUnsent, err)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return ErrAnswerTooLarge
	default:
		return errors.Join(ErrBroken, err)
	}
}

// provesNotRun reports whether the endpoint says in a problem document that it
// did not run the call. A bare 503 or 429 proves nothing.
func provesNotRun(incoming *fasthttp.Response) bool {
	if incoming.StatusCode() != http.StatusServiceUnavailable && incoming.StatusCode() != http.StatusTooManyRequests {
		return false
	}
	if !strings.HasPrefix(string(incoming.Header.ContentType()), "application/problem+json") {
		return false
	}
	var document struct {
		Outcome request.Outcome `json:"outcome"`
	}
	return json.Unmarshal(incoming.Body(), &document) == nil && document.Outcome == request.OutcomeNotRun
}

// notReturned are headers of an answer that stay at the gateway (RFC 9110,
// section 7.6.1), and those that it sets itself.
var notReturned = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Date": true, "X-Request-Id": true,
}

func answerOf(incoming *fasthttp.Response) Answer {
	dropped := strings.Split(strings.ToLower(string(incoming.Header.Peek("Connection"))), ",")
	answer := Answer{Status: incoming.StatusCode(), Body: append([]byte(nil), incoming.Body()...)}
	for name, value := range incoming.Header.All() {
		field := request.Field{Name: string(name), Value: string(value)}
		if !notReturned[field.Name] && !listed(dropped, field.Name) {
			answer.Header = append(answer.Header, field)
		}
	}
	return answer
}

func listed(options []string, name string) bool {
	for _, option := range options {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}
