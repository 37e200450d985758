package gateway

import (
	"strings"

	"github.com/valyala/fasthttp"

	"knapweedhoist/request"
)

// notForwarded holds the request headers that are not sent to the endpoint:
// hop-by-hop headers (RFC 9110, section 7.6.1), the team's credential, and headers
// that the gateway sets itself.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Host": true, "Content-Length": true, "Expect": true,
	"X-Request-Id": true, "X-Attempt": true, "X-Deadline-Ms": true,
}

// endToEndFields returns copies of the header fields that are sent to the endpoint.
func endToEndFields(header *fasthttp.RequestHeader) []request.Field {
	dropped := connectionOptions(header.Peek("Connection"))
	var fields []request.Field
	for name, value := range header.All() {
		field := request.Field{Name: string(name), Value: string(value)}
		if !notForwarded[field.Name] && !dropped[strings.ToLower(field.Name)] {
			fields = append(fields, field)
		}
	}
	return fields
}

// connectionOptions returns the names that a Connection header lists, in lower case.
func connectionOptions(value []byte) map[string]bool {
	options := make(map[string]bool)
	for name := range strings.SplitSeq(string(value), ",") {
		options[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return options
}
