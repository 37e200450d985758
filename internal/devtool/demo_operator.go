package devtool

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"knapweedhoist/operator"
	"knapweedhoist/timeline"
)

// switchPreset puts another preset in force and measures the time until the entry instances report it.
// It leaves out the last entry instance, which reclaimEntryMidStream reclaims.
func (d *demo) switchPreset(ctx context.Context) {
	first := d.entries[0].cfg.Listen.Operators
	var before operator.Status
	if err := callOperator(ctx, http.MethodGet, first, "/operator/v1/status", nil, &before); err != nil {
		d.checks.expect(false, "reading the status failed: %v", err)
		return
	}
	start := time.Now()
	var result operator.ChangeResult
	change := operator.ChangeBody{BaseRevision: before.Revision, OperationID: "demo-1", Preset: "peak"}
	err := callOperator(ctx, http.MethodPut, first, "/operator/v1/in-force", change, &result)
	slowest := time.Duration(0)
	for _, e := range d.entries[:len(d.entries)-1] {
		for ctx.Err() == nil && err == nil {
			var status operator.Status
			err = callOperator(ctx, http.MethodGet, e.cfg.Listen.Operators, "/operator/v1/status", nil, &status)
			if status.Preset == "peak" {
				slowest = max(slowest, time.Since(start))
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	d.printf("preset %s -> peak: accepted as revision %d, in force at all but the reclaimed entry instance after %s, error: %v\n",
		before.Preset, result.Revision, slowest.Round(time.Millisecond), err)
	const applyTarget = 6 * time.Second
	d.checks.expect(err == nil && slowest <= applyTarget, "the preset was not in force within %s: %v", applyTarget, err)
}

// callOperator calls the operator API at address with body encoded as JSON, unless it is nil, and decodes the response into
// into. It fails if the status is not 2xx.
func callOperator(ctx context.Context, method, address, path string, body, into any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, text)
	}
	return json.Unmarshal(text, into)
}

// maxPrintedEvents is the largest number of timeline events that the demonstration prints.
const maxPrintedEvents = 40

// writeTimeline reads the latest events of all instances, at most 5000, and prints the last maxPrintedEvents of
// them. If htmlPath is not empty, it writes all events that it read to that file as HTML.
func (d *demo) writeTimeline(ctx context.Context, htmlPath string) error {
	var merged operator.MergedTimeline
	if err := callOperator(ctx, http.MethodGet, d.entries[0].cfg.Listen.Operators, "/operator/v1/timeline?limit=5000", nil, &merged); err != nil {
		return err
	}
	events := merged.Events
	d.printf("\ntimeline over all instances: %d events, %d dropped, missing instances: %v; the last %d:\n",
		len(events), merged.Dropped, merged.Missing, min(maxPrintedEvents, len(events)))
	if err := timeline.WriteTable(d.out, events[max(0, len(events)-maxPrintedEvents):]); err != nil {
		return err
	}
	if htmlPath == "" {
		return nil
	}
	file, err := os.Create(htmlPath)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return timeline.WriteHTML(file, timeline.Page{Title: "hoistdev demo", Events: events, Missing: merged.Missing})
}
