package hoistctl

import (
	"cmp"

	"github.com/jessevdk/go-flags"
)

// addViews adds the commands on the running fleet.
func (a *app) addViews(parser *flags.Parser) error {
	_, status := parser.AddCommand("status", "Shows the fleet as one instance sees it", "", &statusCommand{app: a})
	_, endpoints := parser.AddCommand("endpoints", "Lists the endpoints with their load", "", &endpointsCommand{app: a})
	_, timeline := parser.AddCommand("timeline", "Shows the events of all instances in causal order", "", &timelineCommand{app: a})
	_, drain := parser.AddCommand("drain", "Starts a planned stop of an entry instance", "", &drainCommand{app: a})
	_, completion := parser.AddCommand("completion", "Prints a completion script",
		"For bash: source <(hoistctl completion bash)", &completionCommand{app: a})
	requests, group := parser.AddCommand("requests", "Shows requests", "", &struct{}{})
	if err := cmp.Or(status, endpoints, timeline, drain, completion, group); err != nil {
		return err
	}
	_, err := requests.AddCommand("show", "Shows one request by its id", "", &requestCommand{app: a})
	return err
}
