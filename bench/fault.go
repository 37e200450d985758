package bench

import "time"

// fault changes the world at a time of the scenario.
type fault struct {
	at    time.Duration
	apply func(sim *simulation)
}

// slowFor makes an engine slow by the factor for a while.
func slowdownFaults(engine int, at, length time.Duration, factor float64) []fault {
	return []fault{
		{at: at, apply: func(sim *simulation) { sim.servers[engine].slowdown = factor }},
		{at: at + length, apply: func(sim *simulation) { sim.servers[engine].slowdown = 1 }},
	}
}

// reclaimNotice is the notice before a reclaim.
const reclaimNotice = 5 * time.Second

// reclaim takes the engines of a data centre away; replacements are refused for a while.
func reclaimFaults(datacentre string, at, refusalDuration time.Duration) []fault {
	return []fault{
		{at: at, apply: func(sim *simulation) { sim.announceReclaim(datacentre) }},
		{at: at + reclaimNotice, apply: func(sim *simulation) { sim.stopEngines(datacentre) }},
		{at: at + reclaimNotice + refusalDuration, apply: func(sim *simulation) { sim.startReplacements(datacentre) }},
	}
}

// outage takes the platform down and reclaims a data centre during the outage; replacements come when it is back.
func outageFaults(datacentre string, at, length time.Duration) []fault {
	reclaimed := at + length/3
	list := reclaimFaults(datacentre, reclaimed, at+length-reclaimed)
	return append(list,
		fault{at: at, apply: func(sim *simulation) { sim.platformDown = true }},
		fault{at: at + length, apply: func(sim *simulation) { sim.platformDown = false }},
	)
}
