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

// Stream implements Engine. It returns ErrBroken if the stream ends without StreamEnd, or if no byte arrives for
// IdleTimeout. After an error of yield it cancels the attempt with a separate call, which takes at most Timeout.
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
		return c.wrap("stream", refusalError(stream))
	}
	return c.yieldEvents(ctx, request, newEventReader(stream.Body), yield)
}

// yieldEvents passes the events of the stream to yield until the stream ends or yield returns an error.
func (c *Client) yieldEvents(ctx context.Context, request Request, events *eventReader, yield func(Event) error) error {
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return c.wrap("stream", errors.Join(ErrBroken, context.Cause(ctx), err))
		}
		if err := yield(event); err != nil {
			c.cancelAttempt(ctx, request)
			return err
		}
	}
}

// cancelAttempt cancels an attempt whose events are no longer read. It ignores an error of the call, because the engine
// also ends the attempt when its connection closes.
func (c *Client) cancelAttempt(ctx context.Context, request Request) {
	_ = c.Cancel(context.WithoutCancel(ctx), request.ID, request.Attempt)
}

// refusalError returns the error for a reply whose status is not 200.
func refusalError(stream *httpcall.Stream) error {
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
