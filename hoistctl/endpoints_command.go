package hoistctl

import (
	"fmt"

	"knapweedhoist/operator"
)

// endpointsCommand lists the endpoints and their load.
type endpointsCommand struct {
	app     *app
	Service string `long:"service" description:"only endpoints of this service"`
}

// Execute implements flags.Commander.
func (c *endpointsCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	var all []operator.EndpointStatus
	if err := client.call("GET", "/operator/v1/endpoints", nil, &all); err != nil {
		return err
	}
	selected := []operator.EndpointStatus{}
	rows := [][]string{{"ENDPOINT", "SERVICE", "DATA CENTRE", "CLASS", "STATE", "RUNNING", "QUEUED", "PREFILL", "DECODE", "LOAD AGE"}}
	for _, e := range all {
		if c.Service != "" && c.Service != e.Service {
			continue
		}
		selected = append(selected, e)
		rows = append(rows, []string{
			e.ID, e.Service, e.Datacentre, e.Class, e.State, fmt.Sprint(e.Running), fmt.Sprint(e.Queued),
			fmt.Sprint(e.PrefillTokens), fmt.Sprint(e.DecodeTokens), formatLoadAge(e.LoadAgeMs),
		})
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(selected)
	}
	return c.app.printTable(rows)
}

// formatLoadAge returns the age of the last load report; a negative age means that
// there is none.
func formatLoadAge(ms int64) string {
	if ms < 0 {
		return "no report"
	}
	return fmt.Sprintf("%d ms", ms)
}
