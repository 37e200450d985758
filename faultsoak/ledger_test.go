package faultsoak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"knapweedhoist/platform/platformtest"
)

// events is the number of events of a complete stream.
const events = 12

// exchange is one request and the outcome that its caller observed.
type exchange struct {
	id, path string
	outcome  platformtest.Outcome
	// elapsed is the time from the request to the end of the answer or of the connection.
	elapsed time.Duration
}

// ledger records all exchanges of a run. It is safe for concurrent use.
type ledger struct {
	mu        sync.Mutex
	exchanges []exchange
}

func (l *ledger) add(e exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges = append(l.exchanges, e)
}

// counts returns the number of exchanges by status, for the log of a run.
func (l *ledger) counts() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[int]int)
	for _, e := range l.exchanges {
		counts[e.outcome.Status]++
	}
	return counts
}

// check returns the violated guarantees, given how often the servers ran each request.
func (l *ledger) check(executions map[string]int) (violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := func(e exchange, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s: ", e.path, e.id)+fmt.Sprintf(format, args...))
	}
	sent := make(map[string]bool, len(l.exchanges))
	for _, e := range l.exchanges {
		sent[e.id] = true
		o := e.outcome
		atMostOnce := e.path == platformtest.BookingPath || e.path == platformtest.DictationPath
		if atMostOnce && executions[e.id] > 1 {
			report(e, "ran %d times", executions[e.id])
		}
		if atMostOnce && isRefusal(o.Status) && executions[e.id] > 0 {
			report(e, "refused with %d and ran", o.Status)
		}
		if isDenial(o.Status) {
			report(e, "denied with %d", o.Status)
		}
		if violation := answerViolation(e); violation != "" {
			report(e, "%s", violation)
		}
	}
	for id := range executions {
		if !sent[id] {
			violations = append(violations, "a server ran "+id+", which no caller sent")
		}
	}
	return violations
}

// lost returns the requests that a server received and whose connection ended without a complete answer before their time
// was over.
func (l *ledger) lost(executions map[string]int) (violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.exchanges {
		if !e.outcome.Complete && executions[e.id] > 0 && e.elapsed < callerTimeout-timeoutMargin {
			violations = append(violations, fmt.Sprintf("%s %s: no complete answer after %v, status %d, events %v",
				e.path, e.id, e.elapsed, e.outcome.Status, platformtest.EventIDs(e.outcome.Body)))
		}
	}
	return violations
}

// timeoutMargin is the time before the end of its timeout at which a request may end without a complete answer.
const timeoutMargin = 100 * time.Millisecond

// isRefusal reports whether a status guarantees that the request has not run and will not run.
func isRefusal(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// isDenial reports whether a status rejects the request as invalid or not allowed. All requests of a run are valid and
// allowed, so that such a status is a violation.
func isDenial(status int) bool { return status >= 300 && status < 500 && !isRefusal(status) }

// answerViolation returns what is wrong with the answer of an exchange, or "" when it is correct or there is none.
func answerViolation(e exchange) string {
	o := e.outcome
	switch {
	case o.Status == 0:
		return ""
	case o.ID != "" && o.ID != e.id:
		return "the answer is for " + o.ID
	case o.Status >= 300 && o.Signature != "":
		return fmt.Sprintf("status %d carries a server's signature", o.Status)
	case o.Status >= 300:
		return ""
	case o.Signature != platformtest.Signature(e.id):
		return fmt.Sprintf("a successful answer carries the wrong signature %q", o.Signature)
	case e.path == platformtest.BookingPath || e.path == platformtest.LookupPath:
		if o.Complete && o.Body != answerTo(e.id) {
			return fmt.Sprintf("the body is %q", o.Body)
		}
		return ""
	default:
		return streamViolation(o)
	}
}

// answerTo returns the body with which plain servers answer the request.
func answerTo(id string) string { return "answer to " + id }

// streamViolation returns a description of a gap or a repeat in the event ids, or of an early end that looks complete;
// otherwise it returns "".
func streamViolation(o platformtest.Outcome) string {
	ids := platformtest.EventIDs(o.Body)
	for n, id := range ids {
		if id != n+1 {
			return fmt.Sprintf("event %d follows %d events", id, n)
		}
	}
	if o.Complete && len(ids) != events {
		return fmt.Sprintf("the stream ends as complete after %d events", len(ids))
	}
	return ""
}

// checkDuties returns the violations in the usage reports that holders of the duties' lease sent to the cloud: two
// different reports of one window, a fencing token that decreases, and one fencing token that two holders use.
func checkDuties(calls []platformtest.CloudCall) (violations []string) {
	bodies, fences := make(map[int64][]byte), newFenceCheck()
	for _, call := range calls {
		var report platformtest.UsageReport
		if err := json.Unmarshal(call.Body, &report); err != nil {
			violations = append(violations, "usage report is not valid JSON: "+err.Error())
			continue
		}
		if previous, ok := bodies[report.WindowID]; ok && !bytes.Equal(previous, call.Body) {
			violations = append(violations, fmt.Sprintf("window %d was reported as %s and %s", report.WindowID, previous, call.Body))
		}
		bodies[report.WindowID] = call.Body
		if violation := fences.add(call); violation != "" {
			violations = append(violations, violation)
		}
	}
	return violations
}
