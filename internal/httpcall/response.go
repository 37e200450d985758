package httpcall

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header []Field
	Body   []byte
}

// newResponse returns the status and header of a response.
func newResponse(response *fasthttp.Response) Response {
	return Response{
		Status: response.StatusCode(),
		Header: headerFields(response),
	}
}

func headerFields(response *fasthttp.Response) []Field {
	var header []Field
	for name, value := range response.Header.All() {
		header = append(header, Field{Name: string(name), Value: string(value)})
	}
	return header
}

// HeaderValue returns the value of the first header field with this name, or "". The name must be in canonical form.
func (r Response) HeaderValue(name string) string {
	for _, field := range r.Header {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// RetryAfter returns the value of the Retry-After header, which is in seconds, or 0 if it is absent, negative or not a
// number.
func (r Response) RetryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(r.HeaderValue(fasthttp.HeaderRetryAfter), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
