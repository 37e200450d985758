package bench

import "time"

// fault changes the world at a time of the scenario.
type fault struct {
	at   time.Duration
	what func(w *world)
}

// slowFor makes an engine slow by the factor for a while.
func slowFor(engine int, at, length time.Duration, factor float64) []fault {
	return []fault{
		{at: at, what: func(w *world) { w.servers[engine].slow = factor }},
		{at: at + length, what: func(w *world) { w.servers[engine].slow = 1 }},
	}
}

// reclaimNotice is the notice before a reclaim.
const reclaimNotice = 5 * time.Second

// reclaim takes the engines of a data centre away; replacements are refused for a while.
func reclaim(datacentre string, at, refused time.Duration) []fault {
	return []fault{
		{at: at, what: func(w *world) { w.notice(datacentre) }},
		{at: at + reclaimNotice, what: func(w *world) { w.stop(datacentre) }},
		{at: at + reclaimNotice + refused, what: func(w *world) { w.replace(datacentre) }},
	}
}

// outage takes the platform down and reclaims a data centre during the outage; replacements come when it is back.
func outage(datacentre string, at, length time.Duration) []fault {
	reclaimed := at + length/3
	list := reclaim(datacentre, reclaimed, at+length-reclaimed)
	return append(list,
		fault{at: at, what: func(w *world) { w.platformDown = true }},
		fault{at: at + length, what: func(w *world) { w.platformDown = false }},
	)
}
