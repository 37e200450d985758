package standin

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// problem is the JSON body of an error reply.
type problem struct {
	Error string `json:"error"`
	// Status is a machine-readable reason, such as "leaving"; "" when the HTTP status suffices.
	Status string `json:"status,omitempty"`
}

func writeJSON(rc *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(body)
}

func writeProblem(rc *fasthttp.RequestCtx, status int, message string) {
	writeJSON(rc, status, problem{Error: message})
}

// writeThrottled replies 429 with a Retry-After header in whole seconds, rounded up, at least one.
func writeThrottled(rc *fasthttp.RequestCtx, retryAfter time.Duration, message string) {
	setRetryAfter(rc, retryAfter)
	writeProblem(rc, fasthttp.StatusTooManyRequests, message)
}

func setRetryAfter(rc *fasthttp.RequestCtx, retryAfter time.Duration) {
	seconds := max(1, int(math.Ceil(retryAfter.Seconds())))
	rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
}
