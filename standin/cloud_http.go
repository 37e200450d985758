package standin

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"knapweedhoist/cloud"
)

func (c *Cloud) serveHTTP(ctx context.Context, rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	switch {
	case rc.IsGet() && path == "/v1/offers":
		offers, err := c.Offers(ctx)
		writeCloudReply(rc, cloud.OffersBody{Offers: offers}, err)
	case rc.IsGet() && path == "/v1/instances":
		instances, err := c.Instances(ctx)
		writeCloudReply(rc, cloud.InstancesBody{Instances: instances}, err)
	case rc.IsPost() && path == "/v1/instances":
		c.serveStart(ctx, rc)
	case rc.IsDelete() && strings.HasPrefix(path, "/v1/instances/"):
		c.serveStop(ctx, rc)
	case rc.IsGet() && path == "/v1/notices":
		c.serveNotices(ctx, rc)
	default:
		writeProblem(rc, fasthttp.StatusNotFound, "no such call")
	}
}

func (c *Cloud) serveStart(ctx context.Context, rc *fasthttp.RequestCtx) {
	var order cloud.StartOrder
	if !readJSON(rc, &order) {
		return
	}
	instance, err := c.StartInstance(ctx, order)
	writeCloudReply(rc, instance, err)
}

func (c *Cloud) serveStop(ctx context.Context, rc *fasthttp.RequestCtx) {
	id := strings.TrimPrefix(string(rc.Path()), "/v1/instances/")
	fence, err := strconv.ParseUint(string(rc.QueryArgs().Peek("fence")), 10, 64)
	if err != nil {
		writeProblem(rc, fasthttp.StatusBadRequest, "fence is a number")
		return
	}
	writeCloudReply(rc, struct{}{}, c.StopInstance(ctx, cloud.StopOrder{ID: id, Fence: fence}))
}

func (c *Cloud) serveNotices(ctx context.Context, rc *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(rc.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		writeProblem(rc, fasthttp.StatusBadRequest, "from is a number")
		return
	}
	notices, err := c.Notices(ctx, from)
	writeCloudReply(rc, cloud.NoticesBody{Notices: notices}, err)
}

func writeCloudReply(rc *fasthttp.RequestCtx, value any, err error) {
	var throttled *cloud.ThrottledError
	switch {
	case err == nil:
		writeJSON(rc, fasthttp.StatusOK, value)
	case errors.As(err, &throttled):
		writeThrottled(rc, throttled.RetryAfter, err.Error())
	case errors.Is(err, cloud.ErrRefused):
		writeProblem(rc, fasthttp.StatusConflict, err.Error())
	case errors.Is(err, cloud.ErrStaleFence):
		writeProblem(rc, fasthttp.StatusPreconditionFailed, err.Error())
	case errors.Is(err, cloud.ErrNotFound):
		writeProblem(rc, fasthttp.StatusNotFound, err.Error())
	case errors.Is(err, cloud.ErrInvalid):
		writeProblem(rc, fasthttp.StatusBadRequest, err.Error())
	default:
		writeProblem(rc, fasthttp.StatusServiceUnavailable, err.Error())
	}
}
