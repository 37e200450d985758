package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/deployment"
	"knapweedhoist/gossip"
	"knapweedhoist/internal/httpcall"
	"knapweedhoist/objectapi"
)

const (
	// relayDelay is how long the store's own watch may take to bring a version before another instance is asked.
	relayDelay = 300 * time.Millisecond
	// relayTimeout bounds the call to another instance.
	relayTimeout = 800 * time.Millisecond
	// configPath is where instances give each other the configuration.
	configPath = "/config"
)

// relaying is 1 while a configuration is fetched from another instance.
type relaying struct{ busy atomic.Bool }

// relay fetches a newer configuration from the instance that reported it.
func (i *Instance) relay(report gossip.Report) {
	if report.ConfigVersion == 0 || !i.relaying.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.relaying.busy.Store(false)
		time.Sleep(relayDelay)
		if config := i.state.View().Config; config != nil && config.Version >= report.ConfigVersion {
			return
		}
		value, err := fetchConfig(report.Address)
		if err != nil {
			i.lg.Warn("configuration not relayed", "peer", report.Source.Instance, "version", report.ConfigVersion, "error", err.Error())
			return
		}
		i.config.take(objectapi.Object{Name: i.adapter.ConfigName, Value: value}, report.Source.Instance)
	}()
}

func fetchConfig(address string) ([]byte, error) {
	client := httpcall.New(httpcall.Config{Address: address, Timeout: relayTimeout})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	response, err := client.Do(ctx, httpcall.Request{Method: fasthttp.MethodGet, Path: configPath})
	if err != nil {
		return nil, err
	}
	if response.Status != fasthttp.StatusOK {
		return nil, deployment.ErrNoConfig
	}
	return response.Body, nil
}
