package httpcall

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"
)

// JSON makes a call like Do. It encodes body as JSON unless body is nil, and
// decodes the JSON of a 2xx response into target unless target is nil. It
// returns other responses without an error, so that the caller maps their
// status to its own errors.
func (c *Client) JSON(ctx context.Context, method, path string, body, target any) (Response, error) {
	request := Request{Method: method, Path: path}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		request.Body = encoded
	}
	response, err := c.Do(ctx, request)
	if err != nil || !response.OK() || target == nil {
		return response, err
	}
	if err := json.Unmarshal(response.Body, target); err != nil {
		return response, fmt.Errorf("decode response: %w", err)
	}
	return response, nil
}

// OK reports whether the status is 2xx.
func (r Response) OK() bool {
	return r.Status >= fasthttp.StatusOK && r.Status < fasthttp.StatusMultipleChoices
}
