package operator

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/timeline"
)

func (s *Server) request(ctx *fasthttp.RequestCtx) {
	id := strings.TrimPrefix(string(ctx.Path()), "/operator/v1/requests/")
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := s.fleet.Request(call, id)
	if err != nil {
		writeProblem(ctx, problemOf("operator/request", err))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, status)
}

func (s *Server) timeline(ctx *fasthttp.RequestCtx) {
	filter, bad := filterOf(ctx.QueryArgs())
	if bad != "" {
		writeProblem(ctx, Problem{
			Status: fasthttp.StatusBadRequest, Step: "operator/timeline", Detail: bad + " is not a whole number of at least 0",
		})
		return
	}
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	writeJSON(ctx, fasthttp.StatusOK, s.events.Collect(call, filter))
}

// filterOf returns the filter of a query, or the name of a bad argument.
func filterOf(args *fasthttp.Args) (timeline.Filter, string) {
	text := func(name string) string { return string(args.Peek(name)) }
	filter := timeline.Filter{
		Request: text("request"), Preset: text("preset"), Endpoint: text("endpoint"),
		Team: text("team"), Kind: timeline.Kind(text("kind")), Instance: text("instance"),
	}
	limit := int64(defaultEvents)
	for name, target := range map[string]*int64{"since_ms": &filter.SinceMs, "until_ms": &filter.UntilMs, "limit": &limit} {
		if !args.Has(name) {
			continue
		}
		value, err := strconv.ParseInt(text(name), 10, 64)
		if err != nil || value < 0 {
			return filter, name
		}
		*target = value
	}
	filter.Limit = int(min(limit, maxEvents))
	if filter.Limit == 0 {
		filter.Limit = maxEvents
	}
	return filter, ""
}

func (s *Server) drain(ctx *fasthttp.RequestCtx, operator string) {
	if !ctx.IsPost() {
		refuseMethod(ctx, "POST")
		return
	}
	if err := s.fleet.Drain(operator); err != nil {
		writeProblem(ctx, problemOf("operator/drain", err))
		return
	}
	s.lg.Info("drain requested", "step", "operator/drain", "operator", operator)
	writeJSON(ctx, fasthttp.StatusAccepted, map[string]bool{"draining": true})
}

// revision answers at once, or with ?wait= when the revision is in force at
// all live instances or the time is over.
func (s *Server) revision(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if !args.Has("wait") {
		status := s.fleet.Status()
		writeJSON(ctx, fasthttp.StatusOK, RevisionOf(status, status.Revision))
		return
	}
	want, err := strconv.ParseUint(string(args.Peek("wait")), 10, 64)
	wait := DefaultWait
	if ms := args.GetUintOrZero("timeout_ms"); ms > 0 {
		wait = min(MaxWait, time.Duration(ms)*time.Millisecond)
	}
	if err != nil {
		writeProblem(ctx, Problem{
			Status: fasthttp.StatusBadRequest, Step: "operator/revision", Detail: "wait is not a revision number",
		})
		return
	}
	timeout, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	writeJSON(ctx, fasthttp.StatusOK, s.await(timeout, want))
}

func (s *Server) await(ctx context.Context, want uint64) RevisionStatus {
	poll := time.NewTicker(waitPoll)
	defer poll.Stop()
	for {
		result := RevisionOf(s.fleet.Status(), want)
		if result.Everywhere {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-poll.C:
		}
	}
}
