package bench

import "time"

// fault changes the simulation at a given time after the start of the scenario.
type fault struct {
	at    time.Duration
	apply func(sim *simulation)
}

// slowdownFaults multiply the iteration time of an engine by factor for the given length.
func slowdownFaults(engine int, at, length time.Duration, factor float64) []fault {
	return []fault{
		{at: at, apply: func(sim *simulation) { sim.servers[engine].slowdown = factor }},
		{at: at + length, apply: func(sim *simulation) { sim.servers[engine].slowdown = 1 }},
	}
}

// reclaimNotice is the time between the announcement of a reclaim and the stop of the engines.
const reclaimNotice = 5 * time.Second

// reclaimFaults stop the engines of a data centre after a notice. The data centre refuses replacements for refusalDuration;
// then the replacements start.
func reclaimFaults(datacentre string, at, refusalDuration time.Duration) []fault {
	return []fault{
		{at: at, apply: func(sim *simulation) { sim.announceReclaim(datacentre) }},
		{at: at + reclaimNotice, apply: func(sim *simulation) { sim.stopEngines(datacentre) }},
		{at: at + reclaimNotice + refusalDuration, apply: func(sim *simulation) { sim.startReplacements(datacentre) }},
	}
}

// outageFaults make the platform unavailable and reclaim the engines of a data centre during the outage. Replacements start
// only after the platform has recovered.
func outageFaults(datacentre string, at, length time.Duration) []fault {
	reclaimed := at + length/3
	list := reclaimFaults(datacentre, reclaimed, at+length-reclaimed)
	return append(list,
		fault{at: at, apply: func(sim *simulation) { sim.platformDown = true }},
		fault{at: at + length, apply: func(sim *simulation) { sim.platformDown = false }},
	)
}
