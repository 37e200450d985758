package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpcall"
)

// Stream implements Engine. A stream that ends without StreamEnd, or brings no
// byte for Silence, ends with ErrBroken. After an error of yield the attempt is
// cancelled with a call of its own, which takes at most Timeout.
func (c *Client) Stream(ctx context.Context, request Request, yield func(Event) error) error {
	call, err := request.httpRequest()
	if err != nil {
		return c.wrap("stream", err)
	}
	stream, err := c.http.Open(ctx, call)
	if err != nil {
		return c.wrap("stream", transportError(err))
	}
	defer stream.Close()
	if stream.Status != fasthttp.StatusOK {
		return c.wrap("stream", refusal(stream))
	}
	return c.relay(ctx, request, newEventReader(stream.Body), yield)
}

func (c *Client) relay(ctx context.Context, request Request, events *eventReader, yield func(Event) error) error {
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return c.wrap("stream", errors.Join(ErrBroken, context.Cause(ctx), err))
		}
		if err := yield(event); err != nil {
			c.abandon(ctx, request)
			return err
		}
	}
}

// abandon cancels an attempt whose events nobody takes any more. Its result
// does not matter: the end of the connection also ends the attempt.
func (c *Client) abandon(ctx context.Context, request Request) {
	_ = c.Cancel(context.WithoutCancel(ctx), request.ID, request.Attempt)
}

func refusal(stream *httpcall.Stream) error {
	response, err := stream.ReadAll(maxLineBytes)
	if err != nil {
		return transportError(err)
	}
	if err := statusError(response); err != nil {
		return err
	}
	return fmt.Errorf("%w: status %d", ErrBroken, response.Status)
}

func (r Request) httpRequest() (httpcall.Request, error) {
	body, err := json.Marshal(CompletionBody{Request: r, Stream: true})
	return httpcall.Request{
		Method: fasthttp.MethodPost,
		Path:   "/v1/chat/completions",
		Header: []httpcall.Field{
			{Name: HeaderRequestID, Value: r.ID},
			{Name: HeaderAttempt, Value: strconv.Itoa(r.Attempt)},
			{Name: HeaderPriority, Value: strconv.Itoa(int(r.Priority))},
			{Name: fasthttp.HeaderAccept, Value: "text/event-stream"},
		},
		Body: body,
	}, err
}
