package hoistctl

import (
	"cmp"

	"github.com/jessevdk/go-flags"
)

// addFleetCommands adds the commands that read or drain the running fleet, and
// completion.
func (a *app) addFleetCommands(parser *flags.Parser) error {
	_, statusErr := parser.AddCommand("status", "Shows the fleet from the view of one instance", "", &statusCommand{app: a})
	_, endpointsErr := parser.AddCommand("endpoints", "Lists the endpoints and their load", "", &endpointsCommand{app: a})
	_, timelineErr := parser.AddCommand("timeline", "Shows the events of all instances in causal order", "", &timelineCommand{app: a})
	_, drainErr := parser.AddCommand("drain", "Drains an entry instance for a planned stop", "", &drainCommand{app: a})
	_, completionErr := parser.AddCommand("completion", "Prints a shell completion script",
		"For bash: source <(hoistctl completion bash)", &completionCommand{app: a})
	requests, requestsErr := parser.AddCommand("requests", "Shows requests", "", &struct{}{})
	if err := cmp.Or(statusErr, endpointsErr, timelineErr, drainErr, completionErr, requestsErr); err != nil {
		return err
	}
	_, err := requests.AddCommand("show", "Shows the state of a request", "", &requestCommand{app: a})
	return err
}
