package standin

import (
	"slices"

	"knapweedhoist/cloud"
)

// Machine classes of the default offers.
const (
	ClassAccelerator = "accelerator"
	ClassGeneral     = "general"
)

// FleetConfig configures a Fleet. Zero fields take their defaults.
type FleetConfig struct {
	// Clock is the time source of all stand-ins; default WallClock.
	Clock Clock
	// Datacentres lists the data centres, each with one zone of the same name.
	// Default kol-a, kol-b, hwh and slg.
	Datacentres []string
	// Engines and Services are the initial numbers of endpoints, spread
	// round-robin over the data centres. Negative means none. Default 10 and 4.
	Engines  int
	Services int
	// ModelService and PlainService name the services of the endpoints. Default
	// scribe-pool and dispatch-desk. Instances that the cloud starts for
	// ModelService are engines; those for any other service are plain services.
	ModelService string
	PlainService string

	// Platform and the fields below configure the stand-ins; Clock replaces their clocks.
	Platform PlatformConfig
	// Cloud configures the cloud. Its Launch, Leaving and Ended are called only
	// for entry instances, which have no service; the fleet handles endpoints
	// itself. The default offers are reclaimable and on-demand instances of both
	// classes in each zone.
	Cloud   CloudConfig
	Roster  RosterConfig
	Engine  EngineConfig
	Service ServiceConfig
}

func (c FleetConfig) withDefaults() FleetConfig {
	c.Clock = orWallClock(c.Clock)
	if len(c.Datacentres) == 0 {
		c.Datacentres = []string{"kol-a", "kol-b", "hwh", "slg"}
	}
	if c.Engines == 0 {
		c.Engines = 10
	}
	if c.Services == 0 {
		c.Services = 4
	}
	if c.ModelService == "" {
		c.ModelService = "scribe-pool"
	}
	if c.PlainService == "" {
		c.PlainService = "dispatch-desk"
	}
	if len(c.Cloud.Offers) == 0 {
		c.Cloud.Offers = defaultOffers(c.Datacentres)
	}
	c.Cloud = c.Cloud.withDefaults()
	c.Platform.Clock = c.Clock
	c.Cloud.Clock = c.Clock
	c.Roster.Clock = c.Clock
	c.Engine.Clock = c.Clock
	c.Service.Clock = c.Clock
	return c
}

// Prices per hour of the on-demand default offers in the first zone; each further zone
// adds a tenth of that price.
const (
	acceleratorPrice = 4.0
	generalPrice     = 0.4
	// reclaimableShare is the price of a reclaimable instance relative to on-demand.
	reclaimableShare = 0.3
	// zonePriceStep is the price increase per further zone, relative to the first zone.
	zonePriceStep = 0.1
)

func defaultOffers(datacentres []string) []cloud.Offer {
	var offers []cloud.Offer
	for i, datacentre := range datacentres {
		factor := 1 + zonePriceStep*float64(i)
		accelerator := cloud.Offer{
			Zone: datacentre, Datacentre: datacentre, Class: ClassAccelerator, PricePerHour: acceleratorPrice * factor,
		}
		general := accelerator
		general.Class = ClassGeneral
		general.PricePerHour = generalPrice * factor
		offers = append(offers, accelerator, reclaimable(accelerator), general, reclaimable(general))
	}
	return slices.Clip(offers)
}

func reclaimable(offer cloud.Offer) cloud.Offer {
	offer.Reclaimable = true
	offer.PricePerHour *= reclaimableShare
	return offer
}
