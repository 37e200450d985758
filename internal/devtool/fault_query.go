package devtool

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"knapweedhoist/standin"
)

// faultQuery is a fault as the console takes it.
type faultQuery struct {
	// on is "platform", "cloud", "list", "endpoints" or the id of an endpoint.
	on    string
	fault standin.Fault
	// length is how long the fault is in force; 0 leaves it until its count of calls is used up.
	length time.Duration
}

var faultKinds = map[standin.FaultKind]bool{
	standin.FaultLostReply: true, standin.FaultLateWrite: true, standin.FaultDelay: true, standin.FaultOutage: true, standin.FaultSilence: true,
	standin.FaultRefuse: true, standin.FaultLag: true, standin.FaultGap: true, standin.FaultBreak: true,
}

// parseFaultQuery reads on, kind, op, count, after_tokens, delay, retry_after and for.
func parseFaultQuery(values url.Values) (faultQuery, error) {
	q := faultQuery{on: values.Get("on")}
	q.fault.Kind, q.fault.Op = standin.FaultKind(values.Get("kind")), values.Get("op")
	if !faultKinds[q.fault.Kind] {
		return q, fmt.Errorf("kind %q; allowed are lost_reply, delay, outage, silence, refuse, lag, gap, break", q.fault.Kind)
	}
	for name, field := range map[string]*int{"count": &q.fault.Count, "after_tokens": &q.fault.AfterTokens} {
		if err := parseWith(values, name, strconv.Atoi, field); err != nil {
			return q, err
		}
	}
	for name, field := range map[string]*time.Duration{
		"delay": &q.fault.Delay, "retry_after": &q.fault.RetryAfter, "for": &q.length,
	} {
		if err := parseWith(values, name, time.ParseDuration, field); err != nil {
			return q, err
		}
	}
	if q.length <= 0 && q.fault.Count <= 0 {
		return q, fmt.Errorf("for (for example 30s) or count is required")
	}
	return q, nil
}

// parseWith sets a field when the value is present.
func parseWith[T any](values url.Values, name string, parse func(string) (T, error), field *T) error {
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

// String returns the fault as one line.
func (q faultQuery) String() string {
	text := fmt.Sprintf("%s on %s", q.fault.Kind, q.on)
	if q.fault.Op != "" {
		text += ", calls " + q.fault.Op
	}
	if q.fault.Count > 0 {
		text += fmt.Sprintf(", %d times", q.fault.Count)
	}
	if q.length > 0 {
		text += ", for " + q.length.String()
	}
	return text
}
