package faultsoak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"

	"knapweedhoist/platform/platformtest"
)

// events is the number of events of a whole stream.
const events = 12

// exchange is one request as its caller saw it.
type exchange struct {
	id, path string
	outcome  platformtest.Outcome
}

// ledger has all exchanges of a run. It is safe for concurrent use.
type ledger struct {
	mu        sync.Mutex
	exchanges []exchange
}

func (l *ledger) add(e exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges = append(l.exchanges, e)
}

// counts returns the exchanges with each status, for the log of a run.
func (l *ledger) counts() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[int]int)
	for _, e := range l.exchanges {
		counts[e.outcome.Status]++
	}
	return counts
}

// check returns the broken promises, given how often each request ran.
func (l *ledger) check(runs map[string]int) (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := func(e exchange, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s %s: ", e.path, e.id)+fmt.Sprintf(format, args...))
	}
	known := make(map[string]bool, len(l.exchanges))
	for _, e := range l.exchanges {
		known[e.id] = true
		o := e.outcome
		once := e.path == platformtest.BookingPath || e.path == platformtest.DictationPath
		if once && runs[e.id] > 1 {
			report(e, "ran %d times", runs[e.id])
		}
		if once && refuses(o.Status) && runs[e.id] > 0 {
			report(e, "refused with %d and ran", o.Status)
		}
		if denies(o.Status) {
			report(e, "denied with %d", o.Status)
		}
		if problem := wrongAnswer(e); problem != "" {
			report(e, "%s", problem)
		}
	}
	for id := range runs {
		if !known[id] {
			broken = append(broken, "a server ran "+id+", which nobody sent")
		}
	}
	return broken
}

// refuses reports whether a status promises that the request has not run and will not.
func refuses(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// denies reports whether a status says that the request is not allowed, which all of them are.
func denies(status int) bool { return status >= 300 && status < 500 && !refuses(status) }

// wrongAnswer tells what is wrong with an answer, "" when nothing is.
func wrongAnswer(e exchange) string {
	o := e.outcome
	switch {
	case o.Status == 0:
		return ""
	case o.ID != "" && o.ID != e.id:
		return "the answer is for " + o.ID
	case o.Status >= 300 && o.Signature != "":
		return fmt.Sprintf("status %d bears a server's signature", o.Status)
	case o.Status >= 300:
		return ""
	case o.Signature != platformtest.Signature(e.id):
		return fmt.Sprintf("a success bears the signature %q", o.Signature)
	case e.path == platformtest.BookingPath || e.path == platformtest.LookupPath:
		if o.Complete && o.Body != answerTo(e.id) {
			return fmt.Sprintf("the body is %q", o.Body)
		}
		return ""
	default:
		return wrongStream(o)
	}
}

// answerTo is the body with which plain servers answer.
func answerTo(id string) string { return "answer to " + id }

// wrongStream tells of a gap, a repeat, or an early end that looks complete.
func wrongStream(o platformtest.Outcome) string {
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

// checkDuties returns what is wrong with the calls of the duties: two reports of a window that differ, a fence that
// goes back, one fence of two holders.
func checkDuties(calls []platformtest.CloudCall) (broken []string) {
	bodies := make(map[int64][]byte)
	holders := make(map[uint64]string)
	newest := uint64(0)
	for _, call := range calls {
		var window platformtest.UsageReport
		if err := json.Unmarshal(call.Body, &window); err != nil {
			broken = append(broken, "usage report not readable: "+err.Error())
			continue
		}
		if known, ok := bodies[window.WindowID]; ok && !bytes.Equal(known, call.Body) {
			broken = append(broken, fmt.Sprintf("window %d was reported as %s and %s", window.WindowID, known, call.Body))
		}
		bodies[window.WindowID] = call.Body
		fence, err := strconv.ParseUint(call.FencingToken, 10, 64)
		switch {
		case err != nil:
			broken = append(broken, "fence "+call.FencingToken)
		case fence < newest:
			broken = append(broken, fmt.Sprintf("fence %d after %d", fence, newest))
		case holders[fence] != "" && holders[fence] != call.Holder:
			broken = append(broken, fmt.Sprintf("fence %d of %s and %s", fence, holders[fence], call.Holder))
		}
		newest = max(newest, fence)
		holders[fence] = call.Holder
	}
	return broken
}
