package entry

import (
	"reflect"

	"knapweedhoist/clock"
)

// Reload takes changed settings in: the bounds of repeats and limits and the
// grace of a stop at once, which cuts no connection. Everything else, addresses
// and the times of watches and leases among it, applies from the next start.
// It is safe for concurrent use.
func (i *Instance) Reload(settings Settings) {
	i.budget.SetBounds(settings.Retries.Ratio, settings.Retries.Slack)
	i.limiter.SetBounds(clock.Now(), settings.Limits.Overage, settings.Limits.Slack)
	i.grace.Store(int64(seconds(settings.StopGrace)))
	i.lg.Info("settings reloaded", "retries", settings.Retries, "limits", settings.Limits,
		"stop_grace_s", settings.StopGrace, "needs_start", i.needsStart(settings))
}

// needsStart reports whether settings differ in what only a start applies.
func (i *Instance) needsStart(settings Settings) bool {
	running := i.settings
	running.StopGrace, running.Limits = settings.StopGrace, settings.Limits
	running.Retries.Ratio, running.Retries.Slack = settings.Retries.Ratio, settings.Retries.Slack
	return !reflect.DeepEqual(running, settings)
}
