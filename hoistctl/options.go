package hoistctl

import (
	"os"
	"strings"
	"time"
)

// options are the connection and output flags of every command.
type options struct {
	Address string        `long:"address" env:"HOISTCTL_ADDRESS" default:"127.0.0.1:7402" description:"operator address of an entry instance, as IP:port"`
	KeyFile string        `long:"key-file" env:"HOISTCTL_KEY_FILE" description:"file with the operator's bearer key; without it, the key is read from HOISTCTL_KEY"`
	Output  string        `long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"timeout of one call"`
}

// key returns the bearer key from the key file or the environment. The key is not
// a flag, so that it does not appear in process lists.
func (o options) key() (string, error) {
	if o.KeyFile == "" {
		return os.Getenv("HOISTCTL_KEY"), nil
	}
	content, err := os.ReadFile(o.KeyFile)
	if err != nil {
		return "", newFailure(Failure{
			Step: "hoistctl/key", Peer: o.KeyFile, Detail: err.Error(), Next: "check --key-file", Exit: ExitUsage,
		})
	}
	return strings.TrimSpace(string(content)), nil
}
