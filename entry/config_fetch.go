package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/deployment"
	"knapweedhoist/fleetstate"
	"knapweedhoist/internal/contain"
	"knapweedhoist/internal/httpcall"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectrelay"
)

const (
	// configFetchDelay is how long this instance's watch of the store may take to deliver a version before the version is
	// fetched from another instance.
	configFetchDelay = 300 * time.Millisecond
	// configFetchTimeout bounds the call to another instance.
	configFetchTimeout = 800 * time.Millisecond
	// configPath is the path at which an instance serves its configuration to others.
	configPath = "/config"
)

// configFetch limits the fetches of the configuration from other instances to one at a time.
type configFetch struct{ inProgress atomic.Bool }

// fetchNewerConfig starts a fetch of a newer configuration from the instance that reported it, unless a fetch is in
// progress. The fetch is skipped if the watch of the store delivers the version within configFetchDelay.
func (i *Instance) fetchNewerConfig(sender fleetstate.Sender) {
	if sender.ConfigVersion == 0 || !i.configFetch.inProgress.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.configFetch.inProgress.Store(false)
		_ = contain.Run(i.lg, "fetch configuration", func() { i.fetchConfigFrom(sender) })
	}()
}

// fetchConfigFrom fetches the configuration from the instance that reported it, unless the watch of the store delivers it.
func (i *Instance) fetchConfigFrom(sender fleetstate.Sender) {
	time.Sleep(configFetchDelay)
	if config := i.state.View().Config; config != nil && config.Version >= sender.ConfigVersion {
		return
	}
	value, err := fetchConfig(sender.Address)
	if err != nil {
		i.lg.Warn("configuration not fetched from another instance", "peer", sender.Source.Instance, "version", sender.ConfigVersion, "error", err.Error())
		return
	}
	i.configSink.applyObject(objectapi.Object{Name: i.adapter.ConfigName, Value: value}, 0, sender.Source.Instance)
}

// fetchConfig returns the encoded configuration of the instance at address.
func fetchConfig(address string) ([]byte, error) {
	client := httpcall.New(httpcall.Config{
		Address: address, Timeout: configFetchTimeout, MaxResponseBytes: objectrelay.MaxReplyBytes,
	})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
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
