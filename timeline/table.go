package timeline

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const timeOfDayFormat = "15:04:05.000"

// WriteTable writes events as a text table with times in UTC.
func WriteTable(w io.Writer, events []Event) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TIME\tINSTANCE\tDATACENTRE\tEVENT\tSUBJECT\tDETAIL")
	for _, e := range events {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n",
			formatStamp(e), e.Instance, e.Datacentre, e.Kind, subjectText(e), detailText(e))
	}
	return table.Flush()
}

func formatStamp(e Event) string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(e.Stamp.WallMs).UTC().Format(timeOfDayFormat), e.Stamp.Logical)
}

// subjectText returns the request, team and other objects of the event as name=value pairs.
func subjectText(e Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", e.Request)
	if e.Attempt > 0 {
		add("attempt", fmt.Sprint(e.Attempt))
	}
	add("team", e.Team)
	add("endpoint", e.Endpoint)
	add("peer", e.Peer)
	add("preset", e.Preset)
	if e.Revision > 0 {
		add("revision", fmt.Sprint(e.Revision))
	}
	return strings.Join(parts, " ")
}

func detailText(e Event) string {
	return strings.TrimSpace(e.Step + " " + e.Detail)
}
