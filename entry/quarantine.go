package entry

import "time"

// updateQuarantine decides on quarantines and logs the changes.
func (i *Instance) updateQuarantine(now time.Time) {
	i.quarantine.SetMayTry(i.duties != nil && i.duties.Holds())
	for _, change := range i.quarantine.Update(now) {
		i.lg.Warn(change.Kind.String(), "key", change.Key.String(), "kind", change.Key.Kind(), "crashes", change.Crashes, "epoch", change.Epoch)
		i.quarantineStore.changed.Store(true)
	}
}
