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

// switchPreset puts another preset in force and measures how long it takes everywhere.
func (d *demo) switchPreset(ctx context.Context) {
	first := d.entries[0].cfg.Listen.Operators
	var before operator.Status
	if err := operatorCall(ctx, http.MethodGet, first, "/operator/v1/status", nil, &before); err != nil {
		d.checks.expect(false, "no status: %v", err)
		return
	}
	start := time.Now()
	var result operator.ChangeResult
	change := operator.ChangeBody{BaseRevision: before.Revision, OperationID: "demo-1", Preset: "peak"}
	err := operatorCall(ctx, http.MethodPut, first, "/operator/v1/in-force", change, &result)
	slowest := time.Duration(0)
	for _, e := range d.entries[:len(d.entries)-1] {
		for ctx.Err() == nil && err == nil {
			var status operator.Status
			err = operatorCall(ctx, http.MethodGet, e.cfg.Listen.Operators, "/operator/v1/status", nil, &status)
			if status.Preset == "peak" {
				slowest = max(slowest, time.Since(start))
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	d.printf("preset %s -> peak: accepted as revision %d, in force everywhere after %s, error: %v\n",
		before.Preset, result.Revision, slowest.Round(time.Millisecond), err)
	const target = 6 * time.Second
	d.checks.expect(err == nil && slowest <= target, "the preset was not in force within %s: %v", target, err)
}

func operatorCall(ctx context.Context, method, address, path string, body, into any) error {
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

// shownEvents is how many events of the timeline the demonstration prints.
const shownEvents = 40

// writeTimeline prints the last events over all instances, and writes the page.
func (d *demo) writeTimeline(ctx context.Context, page string) error {
	var collected operator.MergedTimeline
	if err := operatorCall(ctx, http.MethodGet, d.entries[0].cfg.Listen.Operators, "/operator/v1/timeline?limit=5000", nil, &collected); err != nil {
		return err
	}
	events := collected.Events
	d.printf("\ntimeline over all instances: %d events, %d dropped, not answering: %v; the last %d:\n",
		len(events), collected.Dropped, collected.Missing, min(shownEvents, len(events)))
	if err := timeline.WriteTable(d.out, events[max(0, len(events)-shownEvents):]); err != nil {
		return err
	}
	if page == "" {
		return nil
	}
	file, err := os.Create(page)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return timeline.WriteHTML(file, timeline.Page{Title: "hoistdev demo", Events: events, Missing: collected.Missing})
}
