package devtool

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/ulid/v2"

	"knapweedhoist/distribution"
	"knapweedhoist/platform"
	"knapweedhoist/roster"
	"knapweedhoist/standin"
)

// Sizes of the sample deployment.
const (
	sampleEngines  = 10
	sampleServices = 4
	// sampleNotice is the time from a reclaim notice to the end of an instance.
	sampleNotice = 8 * time.Second
)

// deployment is the sample deployment's stand-ins on loopback addresses.
type deployment struct {
	*standin.Fleet
}

// startDeployment starts the stand-ins and stores the sample configuration.
func startDeployment(ctx context.Context, lg *slog.Logger) (*deployment, error) {
	d := &deployment{Fleet: standin.NewFleet(lg, standin.FleetConfig{
		Datacentres: sampleDatacentres, Engines: sampleEngines, Services: sampleServices,
		ModelService: sampleModelService, PlainService: samplePlainService,
		Engine: standin.EngineConfig{ChecksFence: true},
		Cloud:  standin.CloudConfig{Notice: sampleNotice, ChecksFence: true},
	})}
	if err := d.Start(); err != nil {
		return nil, err
	}
	document := sampleDocument()
	value, err := document.Encode()
	if err != nil {
		return nil, err
	}
	_, err = d.Platform.Do(ctx, platform.Create(platform.KindConfig, distribution.ObjectName, value))
	return d, err
}

// listEntry puts an entry instance on the lagging list, as the platform does
// with each instance that it starts.
func (d *deployment) listEntry(id, datacentre, datagramAddress string) {
	d.Roster.Set(roster.Entry{
		ID: id, Incarnation: ulid.Make().String(), Kind: roster.KindEntry, Datacentre: datacentre, Zone: datacentre,
		Class: standin.ClassGeneral, Address: datagramAddress, State: roster.StateLive,
	})
	d.Roster.Settle()
}
