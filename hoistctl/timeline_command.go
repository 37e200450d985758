package hoistctl

import (
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"knapweedhoist/operator"
	"knapweedhoist/timeline"
)

// timelineCommand shows the merged timeline of all instances.
type timelineCommand struct {
	app      *app
	Request  string        `long:"request" description:"only events of this request"`
	Preset   string        `long:"preset" description:"only events of this preset"`
	Endpoint string        `long:"endpoint" description:"only events of this endpoint"`
	Team     string        `long:"team" description:"only events of this team"`
	Kind     string        `long:"kind" description:"only events of this kind"`
	Instance string        `long:"instance" description:"only events of this entry instance"`
	Since    time.Duration `long:"since" description:"only events of this recent period, for example 10m"`
	Limit    int           `long:"limit" description:"number of newest events; default 2000, at most 20000"`
	HTML     string        `long:"html" description:"write a self-contained HTML page to this file"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	var collected operator.MergedTimeline
	if err := client.call("GET", "/operator/v1/timeline?"+c.query(time.Now()), nil, &collected); err != nil {
		return err
	}
	if c.HTML != "" {
		return c.writePage(collected)
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(collected)
	}
	if err := timeline.WriteTable(c.app.out, collected.Events); err != nil {
		return err
	}
	c.warnIncomplete(collected)
	return nil
}

// query returns the URL query of the filters that are set.
func (c *timelineCommand) query(now time.Time) string {
	query := url.Values{}
	for name, value := range map[string]string{
		"request": c.Request, "preset": c.Preset, "endpoint": c.Endpoint,
		"team": c.Team, "kind": c.Kind, "instance": c.Instance,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	if c.Since > 0 {
		query.Set("since_ms", fmt.Sprint(now.Add(-c.Since).UnixMilli()))
	}
	if c.Limit > 0 {
		query.Set("limit", fmt.Sprint(c.Limit))
	}
	return query.Encode()
}

// warnIncomplete prints to the error output which instances did not answer and
// how many events were overwritten, because these events are not in the output.
func (c *timelineCommand) warnIncomplete(collected operator.MergedTimeline) {
	if len(collected.Missing) > 0 {
		_, _ = fmt.Fprintf(c.app.errOut, "no answer, events not shown: %s\n", strings.Join(collected.Missing, ", "))
	}
	if collected.Dropped > 0 {
		_, _ = fmt.Fprintf(c.app.errOut, "%d older events were overwritten\n", collected.Dropped)
	}
}

func (c *timelineCommand) writePage(collected operator.MergedTimeline) error {
	file, err := os.Create(c.HTML)
	if err == nil {
		err = timeline.WriteHTML(file, timeline.Page{
			Title: c.title(), Events: collected.Events, Missing: collected.Missing, Dropped: collected.Dropped,
		})
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}
	if err != nil {
		return newFailure(Failure{
			Step: "hoistctl/html", Peer: c.HTML, Detail: err.Error(), Next: "check the path given to --html", Exit: ExitFailed,
		})
	}
	c.app.printf("%d events written to %s\n", len(collected.Events), c.HTML)
	c.warnIncomplete(collected)
	return nil
}

func (c *timelineCommand) title() string {
	title := "Timeline"
	for _, part := range []string{c.Request, c.Preset, c.Endpoint, c.Team, c.Kind, c.Instance} {
		if part != "" {
			title += " · " + part
		}
	}
	return title
}
