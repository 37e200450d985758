package operator

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/timeline"
)

// handleRequest serves /operator/v1/requests/{id}.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	id := strings.TrimPrefix(string(ctx.Path()), "/operator/v1/requests/")
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := s.fleet.Request(callCtx, id)
	if err != nil {
		writeProblem(ctx, problemFromError("operator/request", err))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, status)
}

// handleTimeline serves /operator/v1/timeline.
func (s *Server) handleTimeline(ctx *fasthttp.RequestCtx) {
	filter, invalidArg := parseFilter(ctx.QueryArgs())
	if invalidArg != "" {
		writeProblem(ctx, Problem{
			Status: fasthttp.StatusBadRequest, Step: "operator/timeline", Detail: invalidArg + " is not a whole number of at least 0",
		})
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	writeJSON(ctx, fasthttp.StatusOK, s.events.Collect(callCtx, filter))
}

// parseFilter returns the timeline filter of a query string. The second result is the name of the
// first invalid argument found, or "". A limit of 0 or above maxEvents becomes maxEvents.
func parseFilter(args *fasthttp.Args) (timeline.Filter, string) {
	arg := func(name string) string { return string(args.Peek(name)) }
	filter := timeline.Filter{
		Request: arg("request"), Preset: arg("preset"), Endpoint: arg("endpoint"),
		Team: arg("team"), Kind: timeline.Kind(arg("kind")), Instance: arg("instance"),
	}
	limit := int64(defaultEvents)
	for name, target := range map[string]*int64{"since_ms": &filter.SinceMs, "until_ms": &filter.UntilMs, "limit": &limit} {
		if !args.Has(name) {
			continue
		}
		value, err := strconv.ParseInt(arg(name), 10, 64)
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

// handleDrain serves /operator/v1/drain.
func (s *Server) handleDrain(ctx *fasthttp.RequestCtx, operator string) {
	if !ctx.IsPost() {
		refuseMethod(ctx, "POST")
		return
	}
	if err := s.fleet.Drain(operator); err != nil {
		writeProblem(ctx, problemFromError("operator/drain", err))
		return
	}
	s.lg.Info("drain requested", "step", "operator/drain", "operator", operator)
	writeJSON(ctx, fasthttp.StatusAccepted, map[string]bool{"draining": true})
}

// handleRevision serves /operator/v1/revision. Without ?wait= it responds at once. With ?wait=N it
// responds when revision N is in force at all live instances, or after timeout_ms, at most MaxWait.
func (s *Server) handleRevision(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if !args.Has("wait") {
		status := s.fleet.Status()
		writeJSON(ctx, fasthttp.StatusOK, NewRevisionStatus(status, status.Revision))
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
	waitCtx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	writeJSON(ctx, fasthttp.StatusOK, s.awaitRevision(waitCtx, want))
}

// awaitRevision polls the status until all live instances have the revision want or ctx ends, and
// returns the last result.
func (s *Server) awaitRevision(ctx context.Context, want uint64) RevisionStatus {
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for {
		result := NewRevisionStatus(s.fleet.Status(), want)
		if result.Everywhere {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-ticker.C:
		}
	}
}
