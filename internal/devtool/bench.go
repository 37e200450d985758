package devtool

import (
	"io"
	"os"

	"knapweedhoist/bench"
)

// benchCommand groups the benchmark commands.
type benchCommand struct {
	Policy benchPolicyCommand `command:"policy" description:"Compare the policy with earlier versions and baselines over seeded arrivals"`
}

// benchPolicyCommand runs scenarios of package bench with the chosen policy variants.
type benchPolicyCommand struct {
	Seed      int64    `long:"seed" description:"Seed of the arrivals and of all random choices" default:"1" value-name:"N"`
	Scenarios []string `long:"scenario" description:"Scenario to run; may be given several times. Default: all" value-name:"NAME"`
	Variants  []string `long:"variant" description:"Variant to run; may be given several times. Default: all" value-name:"NAME"`
	Out       string   `long:"out" description:"Folder for CSV files and HDR histograms" value-name:"DIR"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *benchPolicyCommand) Execute([]string) error {
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
	}
	return bench.Run(c.stdout, bench.Options{
		Seed: c.Seed, Scenarios: c.Scenarios, Variants: c.Variants, Directory: c.Out,
	})
}
