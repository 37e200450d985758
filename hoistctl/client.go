package hoistctl

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/operator"
)

// maxAnswerBytes fits a timeline of 20,000 events and the configuration document.
const maxAnswerBytes = 64 << 20

// client calls the operator API at one address.
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
		http: &fasthttp.Client{MaxResponseBodySize: maxAnswerBytes, MaxIdemponentCallAttempts: 1},
	}, nil
}

// at returns a client for another instance.
func (c *client) at(address string) *client {
	other := *c
	other.address = address
	return &other
}

// call sends body as JSON when it is not nil, and decodes the answer into answer.
func (c *client) call(method, path string, body, answer any) error {
	return c.callWithin(c.timeout, method, path, body, answer)
}

func (c *client) callWithin(timeout time.Duration, method, path string, body, answer any) error {
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
		return c.noAnswer(method, path, err)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return c.refused(method, path, response)
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return fail(Failure{
			Step: method + " " + path, Peer: c.address, Detail: "unreadable answer: " + err.Error(),
			Next: "check that --address is an operator address", Exit: ExitFailed,
		})
	}
	return nil
}

func (c *client) noAnswer(method, path string, err error) error {
	next := "check --address, or try another entry instance"
	if method != fasthttp.MethodGet {
		next = "the change may have been stored: send it again with the same --operation-id, to any entry instance"
	}
	return fail(Failure{Step: method + " " + path, Peer: c.address, Detail: err.Error(), Next: next, Exit: ExitUnavailable})
}

// refused returns the failure of a problem document.
func (c *client) refused(method, path string, response *fasthttp.Response) error {
	var problem operator.Problem
	if err := json.Unmarshal(response.Body(), &problem); err != nil {
		problem.Detail = fasthttp.StatusMessage(response.StatusCode())
	}
	step := problem.Step
	if step == "" {
		step = method + " " + path
	}
	return fail(Failure{
		Step: step, Peer: c.address, Detail: problem.Detail, Next: problem.Next,
		Exit: exitOf(response.StatusCode()), Conflict: problem.Conflict,
	})
}

func exitOf(status int) int {
	switch status {
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
