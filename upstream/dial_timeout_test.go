package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// Guards against a request that waits longer than the dial timeout for an endpoint that does not respond, and against one
// that counts as sent then.
func TestDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dial := func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		started := time.Now()
		_, err := NewPool(Config{Dial: dial}).Do(t.Context(), Request{
			Target: Target{Address: "10.0.0.1:1", ID: "endpoint-1"}, Header: &fasthttp.RequestHeader{},
			Deadline: started.Add(testTimeout),
		})
		g.Expect(err).To(MatchError(ErrNotSent))
		g.Expect(time.Since(started)).To(Equal(300 * time.Millisecond))
	})
}
