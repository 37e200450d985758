package hoistctl

import (
	"fmt"
	"time"

	"knapweedhoist/operator"
)

// statusCommand shows the preset in force, the data centres and the instances
// from the view of one instance.
type statusCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	var status operator.Status
	if err := client.call("GET", "/operator/v1/status", nil, &status); err != nil {
		return err
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(status)
	}
	c.app.printf("as seen by %s in %s\npreset %s, revision %d, in force since %s\n\n",
		status.Instance, status.Datacentre, status.Preset, status.Revision, formatTime(status.RevisionSince))
	if err := c.app.printTable(datacentreRows(status)); err != nil {
		return err
	}
	c.app.printf("\n")
	if err := c.app.printTable(instanceRows(status)); err != nil {
		return err
	}
	for name, n := range status.Violations {
		c.app.printf("\ninvariant violated %d times: %s\n", n, name)
	}
	return nil
}

func datacentreRows(status operator.Status) [][]string {
	rows := [][]string{{"DATA CENTRE", "LIVE", "SUSPECT", "DEAD", "LEAVING", "ENDPOINTS", "LEAVING", "LAST HEARD"}}
	for _, d := range status.Datacentres {
		rows = append(rows, []string{
			d.Name, fmt.Sprint(d.Live), fmt.Sprint(d.Suspect), fmt.Sprint(d.Dead), fmt.Sprint(d.Leaving),
			fmt.Sprint(d.Endpoints), fmt.Sprint(d.EndpointsLeaving), formatTime(d.LastHeard),
		})
	}
	return rows
}

func instanceRows(status operator.Status) [][]string {
	rows := [][]string{{"INSTANCE", "DATA CENTRE", "STATE", "REVISION", "SINCE", "LAST HEARD", "OPERATOR ADDRESS"}}
	for _, i := range status.Instances {
		rows = append(rows, []string{
			i.ID, i.Datacentre, i.State, fmt.Sprint(i.Revision), formatTime(i.RevisionSince), formatTime(i.LastHeard), i.OperatorAddress,
		})
	}
	return rows
}

// formatTime returns at in UTC; the zero time is shown as never.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.UTC().Format(time.DateTime)
}
