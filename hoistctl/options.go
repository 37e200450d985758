package hoistctl

import (
	"os"
	"strings"
	"time"
)

// options apply to every command.
type options struct {
	Address string        `long:"address" env:"HOISTCTL_ADDRESS" default:"127.0.0.1:7402" description:"operator address of an entry instance, IP and port"`
	KeyFile string        `long:"key-file" env:"HOISTCTL_KEY_FILE" description:"file that holds the operator's bearer key; otherwise HOISTCTL_KEY is used"`
	Output  string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"longest time for one call"`
}

// key returns the bearer key. It is no option, so that it is not shown in process lists.
func (o options) key() (string, error) {
	if o.KeyFile == "" {
		return os.Getenv("HOISTCTL_KEY"), nil
	}
	content, err := os.ReadFile(o.KeyFile)
	if err != nil {
		return "", fail(Failure{
			Step: "hoistctl/key", Peer: o.KeyFile, Detail: err.Error(), Next: "check --key-file", Exit: ExitUsage,
		})
	}
	return strings.TrimSpace(string(content)), nil
}
