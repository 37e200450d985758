package bench

import "time"

// scenario is a workload with faults.
type scenario struct {
	name      string
	about     string
	length    time.Duration
	reportLag time.Duration
	workload  workload
	faults    []fault
}

// usualLag is the age of a load report when it reaches the entry instances.
const usualLag = time.Second

func scenarios() []scenario {
	ordinary := workload{streams: ordinaryStreams(1), shares: ordinaryShares}
	list := []scenario{
		{name: "ordinary_day", about: "about half of the capacity", length: 4 * time.Minute, workload: ordinary},
		{name: "peak", about: "1.5 times the ordinary load", length: 3 * time.Minute,
			workload: workload{streams: ordinaryStreams(1.5), shares: ordinaryShares}},
		{name: "counter_questions", about: "short questions without long drafts (reference)", length: 3 * time.Minute,
			workload: workload{streams: counterStreams(false), shares: ordinaryShares}},
		{name: "drafts_and_questions", about: "the same short questions with long drafts", length: 3 * time.Minute,
			workload: workload{streams: counterStreams(true), shares: ordinaryShares}},
		{name: "stragglers", about: "two of ten engines slow eightfold for 5 s at a time, reports 3 s late",
			length: 4 * time.Minute, reportLag: 3 * time.Second, workload: ordinary, faults: stragglerFaults()},
		{name: "reclaim_wave", about: "all engines of a data centre reclaimed, replacements refused for 60 s",
			length: 4 * time.Minute, workload: ordinary, faults: reclaim("quito-norte", time.Minute, time.Minute)},
		{name: "overload", about: "twice the capacity", length: 2 * time.Minute,
			workload: workload{streams: ordinaryStreams(3.7), shares: ordinaryShares}},
	}
	for i := range list {
		if list[i].reportLag == 0 {
			list[i].reportLag = usualLag
		}
	}
	return list
}

// counterStreams are counter questions, with or without long drafts.
func counterStreams(drafts bool) []stream {
	streams := []stream{{kind: kindShort, rate: 48}}
	if drafts {
		streams = append(streams, stream{kind: kindLong, rate: 8})
	}
	return streams
}

// stragglerFaults slow a different pair of engines every 15 s.
func stragglerFaults() []fault {
	var list []fault
	for i, at := 0, 10*time.Second; at < 230*time.Second; i, at = i+2, at+15*time.Second {
		list = append(list, slowFor(i%engines, at, 5*time.Second, 8)...)
		list = append(list, slowFor((i+1)%engines, at, 5*time.Second, 8)...)
	}
	return list
}
