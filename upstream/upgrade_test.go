package upstream

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// Guards against a request that counts as sent, so that it is not sent elsewhere, to a server that does not hand its connections over, for
// example an instance of an earlier release.
func TestServerThatDoesNotUpgrade(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) }}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	pool := NewPool(Config{Dial: DialUpgraded("/requests", "requests")})
	_, err = pool.Do(t.Context(), Request{
		Target: Target{Address: ln.Addr().String(), ID: "instance-1"}, Header: &fasthttp.RequestHeader{}, Deadline: time.Now().Add(testTimeout),
	})
	g.Expect(err).To(MatchError(ErrNotSent))
	g.Expect(err).To(MatchError(errNotUpgraded))
}
