package httpcall

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"
)

// JSON makes a call like Do, with body as JSON unless it is nil, and decodes a
// successful reply into a value unless that is nil. Other replies are returned
// for the caller to map to its errors.
func (c *Client) JSON(ctx context.Context, method, path string, body, into any) (Response, error) {
	request := Request{Method: method, Path: path}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		request.Body = encoded
	}
	response, err := c.Do(ctx, request)
	if err != nil || !response.OK() || into == nil {
		return response, err
	}
	if err := json.Unmarshal(response.Body, into); err != nil {
		return response, fmt.Errorf("reply: %w", err)
	}
	return response, nil
}

// OK reports whether the status is one of success.
func (r Response) OK() bool {
	return r.Status >= fasthttp.StatusOK && r.Status < fasthttp.StatusMultipleChoices
}
