package devtool

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/ulid/v2"

	"knapweedhoist/distribution"
	"knapweedhoist/objectapi"
	"knapweedhoist/platform/platformtest"
	"knapweedhoist/roster"
	"knapweedhoist/settings"
	"knapweedhoist/standin"
)

// sampleNotice is the time from a reclaim notice to the end of an instance.
const sampleNotice = 8 * time.Second

// topology is the size of a deployment: its data centres and the numbers of endpoints by kind.
type topology struct {
	datacentres       []string
	engines, services int
}

// sampleTopology returns the size of the users' present deployments.
func sampleTopology() topology {
	return topology{datacentres: sampleDatacentres, engines: 10, services: 4}
}

// deployment runs the stand-ins of a deployment on loopback addresses.
type deployment struct {
	*standin.Fleet
	topology topology
	// fleetKey authenticates frames between the entry instances of this deployment only.
	fleetKey settings.Secret
}

// startDeployment starts the stand-ins and stores the sample configuration.
func startDeployment(ctx context.Context, lg *slog.Logger, size topology) (*deployment, error) {
	d := &deployment{topology: size, fleetKey: newFleetKey(), Fleet: standin.NewFleet(lg, standin.FleetConfig{
		Datacentres: size.datacentres, Engines: size.engines, Services: size.services,
		ModelService: sampleModelService, PlainService: samplePlainService,
		Platform: standin.PlatformConfig{HTTP: platformtest.ServeObjects},
		Engine:   standin.EngineConfig{ChecksFence: true},
		Cloud:    standin.CloudConfig{Notice: sampleNotice, ChecksFence: true},
	})}
	if err := d.Start(); err != nil {
		return nil, err
	}
	document := sampleDocument()
	value, err := document.Encode()
	if err != nil {
		return nil, err
	}
	_, err = d.Platform.Do(ctx, objectapi.Create(objectapi.KindConfig, distribution.ObjectName, value))
	return d, err
}

// addToRoster adds an entry instance to the lagging list, as the platform does
// for each instance that it starts.
func (d *deployment) addToRoster(id, datacentre, datagramAddress string) {
	d.Roster.Set(roster.Entry{
		ID: id, Incarnation: ulid.Make().String(), Kind: roster.KindEntry, Datacentre: datacentre, Zone: datacentre,
		Class: standin.ClassGeneral, Address: datagramAddress, State: roster.StateLive,
	})
	d.Roster.ApplyPending()
}
