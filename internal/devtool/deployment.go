package devtool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"

	"github.com/oklog/ulid/v2"

	"knapweedhoist/platform"
	"knapweedhoist/roster"
	"knapweedhoist/standin"
)

// Sizes of the sample deployment.
const sampleEngines = 10

// deployment is the sample deployment's stand-ins on loopback addresses.
type deployment struct {
	platform *standin.Platform
	roster   *standin.Roster
	engines  []*standin.Engine
	closers  []io.Closer
}

// server is a stand-in that listens on an address.
type server interface {
	io.Closer
	Start(address string) error
	Addr() string
}

func startDeployment(ctx context.Context, lg *slog.Logger) (*deployment, error) {
	d := &deployment{
		platform: standin.NewPlatform(lg, standin.PlatformConfig{}),
		roster:   standin.NewRoster(lg, standin.RosterConfig{}),
	}
	if err := d.start(d.platform, d.roster); err != nil {
		return nil, err
	}
	for n := range sampleEngines {
		e := standin.NewEngine(lg, standin.EngineConfig{ChecksFence: true})
		if err := d.start(e); err != nil {
			return nil, err
		}
		d.engines = append(d.engines, e)
		d.list(fmt.Sprintf("engine-%d", n+1), sampleModelService, n, e.Addr())
	}
	value, err := json.Marshal(sampleDocument())
	if err != nil {
		return nil, err
	}
	_, err = d.platform.Do(ctx, platform.Create(platform.KindConfig, "current", value))
	return d, err
}

func (d *deployment) start(servers ...server) error {
	for _, s := range servers {
		if err := s.Start("127.0.0.1:0"); err != nil {
			d.close()
			return err
		}
		d.closers = append(d.closers, s)
	}
	return nil
}

// list puts an endpoint on the lagging list.
func (d *deployment) list(id, service string, n int, address string) {
	datacentre := sampleDatacentres[n%len(sampleDatacentres)]
	d.roster.Set(roster.Entry{
		ID: id, Incarnation: ulid.Make().String(), Kind: roster.KindEndpoint, Service: service,
		Datacentre: datacentre, Zone: datacentre, Class: "standard", Address: address,
		Reclaimable: n%2 == 0, State: roster.StateLive,
	})
}

func (d *deployment) close() {
	for _, closer := range d.closers {
		_ = closer.Close()
	}
}
