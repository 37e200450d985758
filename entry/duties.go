package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/duty"
	"knapweedhoist/sizing"
)

// Names of duties in the settings.
const (
	dutyUsage  = "usage_report"
	dutyOrders = "autoscale"
)

// candidates is the number of instances that contend for the duties, so that
// the reads of the lease do not grow with the deployment.
const candidates = 2

func (i *Instance) startDuties(ctx context.Context) {
	if i.adapter.Cloud == nil || len(i.settings.Duties) == 0 {
		return
	}
	i.duties = duty.NewRunner(i.lg, duty.Config{
		Instance: i.settings.Instance, Incarnation: strconv.FormatUint(i.source.Boot, 36),
		NewDeployment:   i.settings.NewDeployment,
		Alternation:     milliseconds(i.settings.AlternationMS),
		ReportsUsage:    slices.Contains(i.settings.Duties, dutyUsage),
		OrdersEndpoints: slices.Contains(i.settings.Duties, dutyOrders),
		UsageDelay:      seconds(i.settings.Usage.Delay), ChecksFence: i.settings.ChecksFence,
	}, duty.Deps{
		Store: i.adapter.Store, Cloud: i.adapter.Cloud, Ledger: i.ledger, WallTime: i.wallNow,
		Candidate: i.candidate, PlanSizes: i.sizes,
	})
	go i.duties.Run(ctx)
}

// sizes plans the services with the demand of all instances. The duty's goroutine calls it.
func (i *Instance) sizes(now time.Time) []sizing.Size {
	return i.planner.Plan(now, i.state.View(), func(service string) float64 { return i.meter.Rate(clock.Now(), service) })
}

func (i *Instance) candidate() bool {
	return i.ready() && i.directory.Rank(clock.Now(), i.silence()) < candidates
}
