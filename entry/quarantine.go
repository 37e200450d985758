package entry

import (
	"time"

	"knapweedhoist/quarantine"
)

// maxTurns bounds the number of turns of a second each in which instances try suspended keys. With more instances, several have the
// same turn.
const maxTurns = 8

// updateQuarantine decides on quarantines and logs the changes.
func (i *Instance) updateQuarantine(now time.Time) {
	i.quarantine.SetMayTry(i.duties != nil && i.duties.Holds())
	i.quarantine.SetTurn(uint64(i.wallNow().Unix())+uint64(i.fleet.Rank()), uint64(min(i.fleet.Total(now), maxTurns)))
	for _, change := range i.quarantine.Update(now) {
		i.lg.Warn(change.Kind.String(), "key", change.Key.String(), "kind", change.Key.Kind(), "crashes", change.Crashes, "epoch", change.Epoch)
		if change.Kind != quarantine.Suspended {
			i.quarantineStore.changed.Store(true)
		}
	}
}
