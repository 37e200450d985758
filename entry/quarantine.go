package entry

import (
	"strconv"
	"time"
)

// updateQuarantine decides on quarantines of prompt parts and logs the changes.
func (i *Instance) updateQuarantine(now time.Time) {
	i.quarantine.SetMayTry(i.duties != nil && i.duties.Holds())
	for _, change := range i.quarantine.Update(now) {
		i.lg.Warn(change.Kind.String(), "part", strconv.FormatUint(change.Part, 16), "crashes", change.Crashes, "epoch", change.Epoch)
		i.quarantineStore.changed.Store(true)
	}
}
