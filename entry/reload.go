package entry

import (
	"reflect"

	"knapweedhoist/clock"
)

// Reload applies changed settings. The bounds of retries and limits and the grace period of a stop apply at once and
// cut no connection. All other settings, such as addresses and the times of watches and leases, apply from the next
// start. Reload is safe for concurrent use.
func (i *Instance) Reload(settings Settings) {
	i.budget.SetBounds(settings.Retries.Ratio, settings.Retries.Slack)
	i.limiter.SetBounds(clock.Now(), settings.Limits.Overage, settings.Limits.Slack)
	i.stopGrace.Store(int64(seconds(settings.StopGrace)))
	i.lg.Info("settings reloaded", "retries", settings.Retries, "limits", settings.Limits,
		"stop_grace_s", settings.StopGrace, "needs_start", i.needsStart(settings))
}

// needsStart reports whether settings contain a change that only a start applies.
func (i *Instance) needsStart(settings Settings) bool {
	running := i.settings
	running.StopGrace, running.Limits = settings.StopGrace, settings.Limits
	running.Retries.Ratio, running.Retries.Slack = settings.Retries.Ratio, settings.Retries.Slack
	return !reflect.DeepEqual(running, settings)
}
