package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"knapweedhoist/dispatch"
	"knapweedhoist/internal/contain"
	"knapweedhoist/quarantine"
	"knapweedhoist/upstream"
)

// progressTime is how long after its first event a stream must still deliver events to show that the endpoint can answer
// the request.
const progressTime = 200 * time.Millisecond

// sharedContents returns the content of each part of the prompt that other requests can have in common with this one.
func sharedContents(prompt []dispatch.Part) []uint64 {
	var contents []uint64
	for _, part := range dispatch.SharedParts(prompt) {
		contents = append(contents, part.Content)
	}
	return contents
}

// formatContents returns contents in hexadecimal, as callers state them.
func formatContents(contents []uint64) string {
	texts := make([]string, len(contents))
	for i, content := range contents {
		texts[i] = strconv.FormatUint(content, 16)
	}
	return strings.Join(texts, ",")
}

// observeEvents notes that the endpoint delivered events of its stream.
func (e *exchange) observeEvents(now time.Time) {
	switch {
	case e.firstEventAt.IsZero():
		e.firstEventAt = now
	case !e.progressed && now.Sub(e.firstEventAt) >= progressTime:
		e.recordProgress()
	}
}

// recordProgress notes that the endpoint was able to answer the request.
func (e *exchange) recordProgress() {
	e.progressed = true
	if len(e.contents) > 0 {
		e.server.deps.Quarantine.RecordAnswer(e.server.deps.Now(), e.contents)
	}
}

// connectionLost reports whether err ended an exchange without any statement of the endpoint, as its crash does.
func connectionLost(err error) bool {
	return errors.Is(err, upstream.ErrBroken) || errors.Is(err, upstream.ErrTruncated) ||
		errors.Is(err, errTruncatedEvent) || errors.Is(err, io.ErrUnexpectedEOF)
}

// investigateLoss finds out whether the endpoint of a failed send has crashed, if the request may be the cause: it has parts
// in common with others, and its answer had made no progress.
func (e *exchange) investigateLoss(err error) {
	if e.progressed || len(e.contents) == 0 || !connectionLost(err) {
		return
	}
	s, inFlight, id, contents, fingerprint := e.server, e.inFlight, e.request.ID, e.contents, e.fingerprint
	endpoint, idleLimit := inFlight.Endpoint, e.idleLimit()
	go func() {
		_ = contain.Run(s.deps.Log, "investigate a lost exchange", func() {
			target := upstream.Target{Address: endpoint.Address, ID: endpoint.ID}
			if !s.deps.Pool.Refuses(context.Background(), target, idleLimit) {
				return
			}
			process := quarantine.ProcessKey(endpoint.ID, endpoint.StartedAtMs)
			s.deps.Quarantine.RecordCrash(s.deps.Now(), process, contents)
			if inFlight.RecordCrash(time.Now()) {
				s.logAvoidance(inFlight, id, dispatch.Crashed, 0)
			}
			s.deps.Metrics.Crashes.Inc(1)
			s.deps.Log.Warn("endpoint crashed", "endpoint", endpoint.ID, "started_ms", endpoint.StartedAtMs,
				"process", formatContents([]uint64{process}), "id", id, "fingerprint", formatContents([]uint64{fingerprint}),
				"parts", formatContents(contents))
		})
	}()
}
