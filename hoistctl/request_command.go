package hoistctl

import (
	"fmt"
	"net/url"

	"knapweedhoist/operator"
)

// requestCommand shows the state of one request.
type requestCommand struct {
	app  *app
	Args struct {
		ID string `positional-arg-name:"id" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	client, err := newClient(c.app.options)
	if err != nil {
		return err
	}
	var r operator.RequestStatus
	if err := client.call("GET", "/operator/v1/requests/"+url.PathEscape(c.Args.ID), nil, &r); err != nil {
		return err
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(r)
	}
	return c.app.printTable([][]string{
		{"request", r.ID}, {"home", r.Home}, {"team", r.Team}, {"service", r.Service}, {"state", r.State},
		{"outcome", r.Outcome}, {"attempt", fmt.Sprint(r.Attempt)}, {"endpoint", r.Endpoint},
		{"idempotent", yesNo(r.Idempotent)}, {"sent", yesNo(r.Sent)}, {"events", fmt.Sprint(r.Events)},
		{"age", fmt.Sprintf("%d ms", r.AgeMs)},
	})
}
