package httpcall

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is a whole reply.
type Response struct {
	Status int
	Header []Field
	Body   []byte
}

func newResponse(response *fasthttp.Response) Response {
	return Response{
		Status: response.StatusCode(),
		Header: fields(response),
		Body:   append([]byte(nil), response.Body()...),
	}
}

func fields(response *fasthttp.Response) []Field {
	var header []Field
	for name, value := range response.Header.All() {
		header = append(header, Field{Name: string(name), Value: string(value)})
	}
	return header
}

// Get returns the value of the first header field of that canonical name, or "".
func (r Response) Get(name string) string {
	for _, field := range r.Header {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// RetryAfter returns the Retry-After of the reply, which is in seconds; 0 when it has none.
func (r Response) RetryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(r.Get(fasthttp.HeaderRetryAfter), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
