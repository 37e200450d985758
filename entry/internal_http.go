package entry

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/contain"
	"knapweedhoist/internal/listen"
	"knapweedhoist/objectrelay"
)

// serveInternal serves the readiness checks of the platform, the reads of other instances and, if the settings name an
// address for them, the metrics.
func (i *Instance) serveInternal() error {
	if err := i.serveOn(i.settings.Listen.Ready, "ready", i.handleReady); err != nil {
		return err
	}
	if err := i.serveOn(i.settings.Listen.Peers, "peers", i.handlePeer); err != nil {
		return err
	}
	if i.settings.Listen.Metrics == "" {
		return nil
	}
	return i.serveOn(i.settings.Listen.Metrics, "metrics", i.handleMetrics)
}

// serveOn listens at address and serves HTTP there until the process exits.
func (i *Instance) serveOn(address, purpose string, handler fasthttp.RequestHandler) error {
	ln, err := listen.TCP(i.lg, address, purpose)
	if err != nil {
		return err
	}
	contained := func(ctx *fasthttp.RequestCtx) {
		if err := contain.Run(i.lg, "serve "+purpose, func() { handler(ctx) }); err != nil {
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
		}
	}
	server := newInternalServer(contained)
	go func() {
		if err := server.Serve(ln); err != nil {
			i.lg.Error("HTTP server stopped", "purpose", purpose, "error", err.Error())
		}
	}()
	return nil
}

// maxInternalBody bounds the body of a request to an internal server, in bytes. Those of the platform and of instances have none.
const maxInternalBody = 4 << 10

// Times after which an internal server closes a connection: on which a request is incomplete, which has no request, or whose
// answer is not read.
const (
	internalReadTimeout  = 10 * time.Second
	internalIdleTimeout  = time.Minute
	internalWriteTimeout = 10 * time.Second
)

// newInternalServer returns an HTTP server for requests without a body.
func newInternalServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, MaxRequestBodySize: maxInternalBody,
		ReadTimeout: internalReadTimeout, IdleTimeout: internalIdleTimeout, WriteTimeout: internalWriteTimeout,
	}
}

// handleReady answers 200 while the instance takes new connections, else 503.
func (i *Instance) handleReady(ctx *fasthttp.RequestCtx) {
	if !i.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handlePeer answers other instances with objects of the copies, or with the encoded configuration at configPath.
func (i *Instance) handlePeer(ctx *fasthttp.RequestCtx) {
	if bytes.HasPrefix(ctx.Path(), []byte(objectrelay.PathPrefix)) {
		objectrelay.Serve(ctx, i.copies)
		return
	}
	if string(ctx.Path()) == passOnPath {
		i.acceptPeer(ctx)
		return
	}
	value := i.configSink.raw.Load()
	if string(ctx.Path()) != configPath || value == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.SetBodyRaw(*value)
}

// handleMetrics writes the metrics in the Prometheus text format.
func (i *Instance) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	var text strings.Builder
	i.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(&text, "hoist_%s %d\n", name, m.Count())
		case metrics.Gauge:
			fmt.Fprintf(&text, "hoist_%s %d\n", name, m.Value())
		case metrics.Histogram:
			for _, q := range []float64{0.5, 0.9, 0.99} {
				fmt.Fprintf(&text, "hoist_%s{quantile=\"%g\"} %g\n", name, q, m.Percentile(q))
			}
			fmt.Fprintf(&text, "hoist_%s_sum %d\nhoist_%s_count %d\n", name, m.Sum(), name, m.Count())
		}
	})
	ctx.SetBodyString(text.String())
}
