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

// startDuties runs the duties that the settings list, unless the adapter has no client of the cloud's API.
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
		UsageDueWithin:  seconds(i.settings.Usage.Delay), ChecksFence: i.settings.ChecksFence,
	}, duty.Deps{
		Store: i.store, StoreEra: i.store.Era, Cloud: i.adapter.Cloud, Ledger: i.ledger, WallTime: i.wallNow,
		CompleteUntil: func() time.Time { return i.fleet.CompleteUntil(clock.Now(), i.wallNow()) },
		Candidate:     i.isCandidate, PlanSizes: i.planSizes,
	})
	go i.duties.Run(ctx)
}

// planSizes plans the sizes of the services for the demand at all instances. Only the goroutine of the duties may call
// it, since the planner is not safe for concurrent use.
func (i *Instance) planSizes(now time.Time) []sizing.Size {
	view := *i.state.View()
	view.Endpoints = i.balancer.LeavingKnown(view.Endpoints)
	return i.planner.Plan(now, &view, func(service string) sizing.Demand {
		own, others := (*i.ownServices.Load())[service], (*i.otherServices.Load())[service]
		engine := i.learner.Engine(service)
		return sizing.Demand{
			Prefill: own.Prefill + others.Prefill, InFlight: own.InFlight + others.InFlight,
			PrefillRate: engine.PrefillRate * tokensPerSecond, Settled: engine.Ended >= settledAnswers,
		}
	})
}

// settledAnswers is the number of recent answers of a service from which its demand is known.
const settledAnswers = 200

// tokensPerSecond converts a rate in tokens per millisecond to one in tokens per second.
const tokensPerSecond = 1000

// isCandidate reports whether this instance contends for the lease of the duties.
func (i *Instance) isCandidate() bool { return i.ready() && i.fleet.IsCandidate(clock.Now()) }
