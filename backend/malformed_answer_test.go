package backend

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/rawserver"
	"knapweedhoist/request"
)

// callRaw calls a server that sends raw and closes the connection.
func callRaw(server *rawserver.Server, raw string, repeatable bool) (Answer, error) {
	server.Answer(raw, false)
	call := outgoing(&request.Call{Method: "GET", Path: "/"})
	call.Repeatable = repeatable
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return NewHTTPCaller().Call(ctx, server.Address(), call)
}

func newRawServer(t *testing.T) *rawserver.Server {
	server, err := rawserver.New()
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	return server
}

// Guards against bytes that are no answer and become a success: 000 was taken for 200.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	RegisterTestingT(t)
	server := newRawServer(t)
	for _, status := range []string{"000", "001", "099"} {
		for _, repeatable := range []bool{false, true} {
			_, err := callRaw(server, "HTTP/1.1 "+status+" OK\r\nContent-Length: 4\r\n\r\nbody", repeatable)
			Expect(err).To(MatchError(ErrBroken), status)
		}
	}
}
