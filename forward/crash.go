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
	"knapweedhoist/internal/wait"
	"knapweedhoist/quarantine"
	"knapweedhoist/upstream"
)

// progressTime is how long after its first event a stream must still deliver events to show that the endpoint can answer
// the request.
const progressTime = 200 * time.Millisecond

// formatKeys returns keys in hexadecimal, those of parts as callers state them.
func formatKeys(keys []quarantine.Key) string {
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = key.String()
	}
	return strings.Join(texts, ",")
}

// observeEvents notes that the endpoint delivered events of its stream.
func (e *exchange) observeEvents(now time.Time) {
	e.lastEventAt = now
	e.server.deps.Reach.Heard(now)
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
	e.server.deps.Quarantine.RecordAnswer(e.server.deps.Now(), e.keys)
}

// connectionLost reports whether err ended an exchange without any statement of the endpoint, as its crash does.
func connectionLost(err error) bool {
	return errors.Is(err, upstream.ErrBroken) || errors.Is(err, upstream.ErrTruncated) ||
		errors.Is(err, errTruncatedEvent) || errors.Is(err, io.ErrUnexpectedEOF)
}

// investigateLoss finds out whether the endpoint of a failed send has crashed, if the request may be the cause: its answer had made no
// progress. It waits for the result if the request may be sent again.
func (e *exchange) investigateLoss(err error) {
	if e.progressed || !connectionLost(err) {
		return
	}
	s, inFlight, id, keys := e.server, e.inFlight, e.request.ID, e.keys
	endpoint, idleLimit := inFlight.Endpoint, e.idleLimit()
	done, lostAt := make(chan struct{}), time.Now()
	go func() {
		defer close(done)
		_ = contain.Run(s.deps.Log, "investigate a lost exchange", func() {
			target := upstream.Target{Address: endpoint.Address, ID: endpoint.ID}
			if !s.deps.Pool.Refuses(context.Background(), target, idleLimit) {
				return
			}
			if !s.reachesAnother(endpoint.ID, lostAt) {
				s.deps.Log.Warn("lost exchange is no sign of a crash", "endpoint", endpoint.ID, "id", id, "reason", "no other endpoint is reached either")
				return
			}
			process := quarantine.ProcessKey(endpoint.ID, endpoint.StartedAtMs)
			s.deps.Quarantine.RecordCrash(s.deps.Now(), process, keys)
			if inFlight.RecordCrash(time.Now()) {
				s.logAvoidance(inFlight, id, dispatch.Crashed, 0)
			}
			s.deps.Metrics.Crashes.Inc(1)
			s.deps.Log.Warn("endpoint crashed", "endpoint", endpoint.ID, "started_ms", endpoint.StartedAtMs,
				"process", strconv.FormatUint(process, 16), "id", id, "fingerprint", keys.Key.String(), "parts", formatKeys(keys.Parts))
		})
	}()
	if e.route.Repeatable() {
		<-done
	}
}

// maxWitnesses is the number of other endpoints that reachesAnother tries.
const maxWitnesses = 3

// reachesAnother reports whether an endpoint other than the given one has answered since a time or accepts a connection, or there is
// none that is not known to have crashed. If not, this instance may have lost its own paths, so that a refused connection says nothing
// about the endpoint.
func (s *Server) reachesAnother(id string, since time.Time) bool {
	if s.deps.Reach.HeardSince(since) {
		return true
	}
	tried := 0
	for otherID, other := range s.deps.State.View().Endpoints {
		if otherID == id || s.deps.Balancer.Crashed(time.Now(), other) {
			continue
		}
		if tried++; tried > maxWitnesses {
			return false
		}
		if s.deps.Pool.Open(context.Background(), upstream.Target{Address: other.Address, ID: otherID}, 1) == nil {
			return true
		}
	}
	return tried == 0
}

// awaitEvidence holds a request that was in progress at a crash a moment ago until it is known whether it is the cause. A random part
// keeps its repeats at several instances from going on together. A request that would lose over half of its time goes on at once. It returns
// false if the caller left meanwhile.
func (e *exchange) awaitEvidence() bool {
	for {
		hold := e.server.deps.Quarantine.EvidenceWait(e.server.deps.Now(), e.keys)
		if hold <= 0 || hold > e.remaining()/2 {
			return true
		}
		hold += time.Duration(e.server.deps.Random() * float64(maxExtraWait))
		e.server.deps.Metrics.Held.Inc(1)
		e.server.deps.Log.Info("request held", "id", e.request.ID, "fingerprint", e.keys.Key.String(), "for_ms", hold.Milliseconds())
		stopWatching := e.watchWait()
		over := wait.For(e.context, hold)
		stopWatching()
		if !over {
			return false
		}
	}
}

// maxExtraWait bounds the random part of awaitEvidence.
const maxExtraWait = 300 * time.Millisecond
