package soak

import (
	"time"

	"knapweedhoist/control"
)

// Lengths of the longest failures, and of a tick while one is in force. The longer ticks let an hour of scripted time pass
// within seconds; the control code then runs as late as on a busy machine.
const (
	longestOutage    = 30 * time.Minute
	longestCut       = time.Hour
	slowTickInterval = 5 * control.TickInterval
	// failureEvery is the time between two further failures while a long one is in force.
	failureEvery = 30 * time.Second
)

// longOutage takes the platform down for up to half an hour and injects other failures meanwhile.
func (w *world) longOutage() {
	if w.longFailureActive || w.brief {
		return
	}
	w.count("platform down for minutes")
	w.outages++
	w.platform.store.SetOutage(true)
	w.runLongFailure(w.randomDuration(longestOutage/6, longestOutage))
	w.endNetworkAndPlatformFailures()
}

// longCut cuts a data centre off from the platform and all other data centres, or from one drawn location, for up to an
// hour, and injects other failures meanwhile. It cuts nothing if the drawn location is the data centre itself.
func (w *world) longCut() {
	if w.longFailureActive || w.brief {
		return
	}
	w.count("data centre cut for minutes")
	isolated := datacentres[w.rng.Intn(len(datacentres))]
	places := append([]string{platformSite}, datacentres...)
	if w.rng.Intn(2) == 0 {
		places = []string{places[w.rng.Intn(len(places))]}
	}
	for _, place := range places {
		if place != isolated {
			w.net.cuts[pair(isolated, place)] = true
		}
	}
	w.runLongFailure(w.randomDuration(longestCut/6, longestCut))
	w.endNetworkAndPlatformFailures()
}

// runLongFailure lets scripted time pass while a long failure is in force, and injects a further failure every
// failureEvery.
func (w *world) runLongFailure(length time.Duration) {
	w.longFailureActive = true
	next := w.now
	for end := w.now.Add(length); w.now.Before(end); {
		if !w.now.Before(next) {
			next = w.now.Add(failureEvery)
			w.drawFailure()
		}
		w.tick(slowTickInterval)
	}
	w.longFailureActive = false
}
