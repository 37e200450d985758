package devtool

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"knapweedhoist/standin"
)

// faultQuery holds the parameters of a fault request to the console.
type faultQuery struct {
	// target is "platform", "cloud", "list", "endpoints" or the id of an endpoint.
	target string
	fault  standin.Fault
	// duration limits how long the fault is active; at 0, only the fault's count of calls limits it.
	duration time.Duration
}

var faultKinds = map[standin.FaultKind]bool{
	standin.FaultLostReply: true, standin.FaultLateWrite: true, standin.FaultDelay: true, standin.FaultOutage: true, standin.FaultSilence: true,
	standin.FaultRefuse: true, standin.FaultLag: true, standin.FaultGap: true, standin.FaultBreak: true,
}

// parseFaultQuery reads the parameters on, kind, op, count, after_tokens, delay, retry_after and for.
// The kind and a positive count or for are required.
func parseFaultQuery(values url.Values) (faultQuery, error) {
	q := faultQuery{target: values.Get("on")}
	q.fault.Kind, q.fault.Op = standin.FaultKind(values.Get("kind")), values.Get("op")
	if !faultKinds[q.fault.Kind] {
		return q, fmt.Errorf("kind %q; allowed are lost_reply, delay, outage, silence, refuse, lag, gap, break", q.fault.Kind)
	}
	for name, field := range map[string]*int{"count": &q.fault.Count, "after_tokens": &q.fault.AfterTokens} {
		if err := parseField(values, name, strconv.Atoi, field); err != nil {
			return q, err
		}
	}
	for name, field := range map[string]*time.Duration{
		"delay": &q.fault.Delay, "retry_after": &q.fault.RetryAfter, "for": &q.duration,
	} {
		if err := parseField(values, name, time.ParseDuration, field); err != nil {
			return q, err
		}
	}
	if q.duration <= 0 && q.fault.Count <= 0 {
		return q, fmt.Errorf("for (for example 30s) or count is required")
	}
	return q, nil
}

// parseField parses the named value into field. It leaves field unchanged if the value is missing.
func parseField[T any](values url.Values, name string, parse func(string) (T, error), field *T) error {
	if !values.Has(name) {
		return nil
	}
	value, err := parse(values.Get(name))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	*field = value
	return nil
}

// String describes the fault in one line.
func (q faultQuery) String() string {
	text := fmt.Sprintf("%s on %s", q.fault.Kind, q.target)
	if q.fault.Op != "" {
		text += ", calls " + q.fault.Op
	}
	if q.fault.Count > 0 {
		text += fmt.Sprintf(", %d times", q.fault.Count)
	}
	if q.duration > 0 {
		text += ", for " + q.duration.String()
	}
	return text
}
