package hoistctl

import (
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpconn"
	"knapweedhoist/operator"
)

// maxResponseBytes is enough for a timeline of 20,000 events and for the
// configuration document.
const maxResponseBytes = 64 << 20

// client calls the operator API of one instance.
type client struct {
	address, key string
	timeout      time.Duration
	http         *fasthttp.Client
}

func newClient(o options) (*client, error) {
	key, err := o.key()
	if err != nil {
		return nil, err
	}
	return &client{
		address: strings.TrimPrefix(o.Address, "http://"), key: key, timeout: o.Timeout,
		http: &fasthttp.Client{Dial: dial, MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1},
	}, nil
}

// dial opens a connection whose reads fail at an invalid response.
func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return httpconn.New(conn), nil
}

// withAddress returns a copy of the client that calls the instance at address.
func (c *client) withAddress(address string) *client {
	copied := *c
	copied.address = address
	return &copied
}

// call sends body as JSON, unless it is nil, and decodes the JSON response into
// result. It returns a Failure if no response arrives within the timeout of the
// options, or if the response is an error or not the expected JSON.
func (c *client) call(method, path string, body, result any) error {
	return c.callWithTimeout(c.timeout, method, path, body, result)
}

// callWithTimeout is call with the given timeout instead of that of the options.
func (c *client) callWithTimeout(timeout time.Duration, method, path string, body, result any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		request.SetBody(encoded)
	}
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return c.transportFailure(method, path, err)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return c.problemFailure(method, path, response)
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return newFailure(Failure{
			Step: method + " " + path, Peer: c.address, Detail: "the response is not the expected JSON: " + err.Error(),
			Next: "check that --address is an operator address", Exit: ExitFailed,
		})
	}
	return nil
}

// transportFailure returns the Failure of a call without a response. A change may
// still have been stored, so the next action is to repeat it with its operation id.
func (c *client) transportFailure(method, path string, err error) error {
	next := "check --address, or try another entry instance"
	if method != fasthttp.MethodGet {
		next = "the change may have been stored: send it again with the same --operation-id, to any entry instance"
	}
	return newFailure(Failure{Step: method + " " + path, Peer: c.address, Detail: err.Error(), Next: next, Exit: ExitUnavailable})
}

// problemFailure converts an error response into a Failure. If the body is not a
// problem document, the detail is the text of the HTTP status.
func (c *client) problemFailure(method, path string, response *fasthttp.Response) error {
	var problem operator.Problem
	if err := json.Unmarshal(response.Body(), &problem); err != nil {
		problem.Detail = fasthttp.StatusMessage(response.StatusCode())
	}
	step := problem.Step
	if step == "" {
		step = method + " " + path
	}
	return newFailure(Failure{
		Step: step, Peer: c.address, Detail: problem.Detail, Next: problem.Next,
		Exit: exitStatus(response.StatusCode()), Conflict: problem.Conflict,
	})
}

// exitStatus maps an HTTP error status to the exit status.
func exitStatus(httpStatus int) int {
	switch httpStatus {
	case fasthttp.StatusNotFound:
		return ExitNotFound
	case fasthttp.StatusConflict:
		return ExitConflict
	case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
		return ExitInvalid
	case fasthttp.StatusServiceUnavailable:
		return ExitUnavailable
	case fasthttp.StatusUnauthorized:
		return ExitCredential
	default:
		return ExitFailed
	}
}
