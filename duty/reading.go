package duty

import "time"

// reading is one reading of the clocks of an instance. now is read first, so that a pause between the readings makes the times of
// day later, never earlier.
type reading struct {
	// now is the time of the decision clock (package clock).
	now time.Time
	// wall is the estimated true time of day, local the wall clock of this machine.
	wall, local time.Time
}

// maxEstimateLag bounds the lag of the estimated time of day that is taken into account, since the wall clock of this machine may be
// far ahead, and no window before it is reported.
const maxEstimateLag = 10 * time.Second

// wallAt returns the time of day at the earlier time at of the decision clock: by the estimate or by the wall clock of this
// machine, whichever is later.
func (r reading) wallAt(at time.Time) time.Time {
	wall := r.wall
	if r.local.After(wall) {
		wall = wall.Add(min(r.local.Sub(wall), maxEstimateLag))
	}
	return wall.Add(-r.now.Sub(at))
}
