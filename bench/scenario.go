package bench

import "time"

// scenario is a workload with faults. All variants run it with the same arrivals.
type scenario struct {
	name      string
	about     string
	length    time.Duration
	reportLag time.Duration
	workload  workload
	faults    []fault
	// limits are the token limits of the teams, in tokens per second.
	limits map[string]float64
}

// defaultReportLag is the age of a load report when it reaches the entry instances.
const defaultReportLag = time.Second

func scenarios() []scenario {
	ordinary := workload{streams: ordinaryStreams(1), teamWeights: ordinaryTeamWeights}
	list := []scenario{
		{name: "ordinary_day", about: "about half of the capacity", length: 4 * time.Minute, workload: ordinary},
		{name: "peak", about: "1.5 times the ordinary load", length: 3 * time.Minute,
			workload: workload{streams: ordinaryStreams(1.5), teamWeights: ordinaryTeamWeights}},
		{name: "counter_questions", about: "short questions without long drafts (reference)", length: 3 * time.Minute,
			workload: workload{streams: counterStreams(false), teamWeights: ordinaryTeamWeights}},
		{name: "drafts_and_questions", about: "the same short questions with long drafts", length: 3 * time.Minute,
			workload: workload{streams: counterStreams(true), teamWeights: ordinaryTeamWeights}},
		{name: "stragglers", about: "two of ten engines slow eightfold for 5 s at a time, reports 3 s late",
			length: 4 * time.Minute, reportLag: 3 * time.Second, workload: ordinary, faults: stragglerFaults()},
		{name: "reclaim_wave", about: "all engines of a data centre reclaimed, replacements refused for 60 s",
			length: 4 * time.Minute, workload: ordinary, faults: reclaimFaults("quito-norte", time.Minute, time.Minute)},
		{name: "overload", about: "twice the capacity", length: 2 * time.Minute,
			workload: workload{streams: ordinaryStreams(3.7), teamWeights: ordinaryTeamWeights}},
		{name: "platform_down", about: "platform down for 30 minutes, a data centre's engines reclaimed meanwhile",
			length: 33 * time.Minute, workload: ordinary, faults: outageFaults("quito-sur", time.Minute, 30*time.Minute)},
		{name: "team_tenfold", about: "team north at ten times its share, limited to 36,000 tokens/s", length: 3 * time.Minute,
			workload: workload{streams: ordinaryStreams(4.15), teamWeights: tenfoldTeamWeights},
			limits:   map[string]float64{"north": 36_000}},
		{name: "uneven", about: "teams bound to instances; every team limited to 80% of its mean demand", length: 3 * time.Minute,
			workload: workload{streams: ordinaryStreams(1), teamWeights: ordinaryTeamWeights, teamsHaveEntry: true, entryShares: unevenEntries},
			limits:   unevenLimits()},
	}
	for i := range list {
		if list[i].reportLag == 0 {
			list[i].reportLag = defaultReportLag
		}
	}
	return list
}

// counterStreams returns a stream of short questions from service counters, with or without a stream of long drafts.
func counterStreams(drafts bool) []stream {
	streams := []stream{{kind: kindShort, rate: 48}}
	if drafts {
		streams = append(streams, stream{kind: kindLong, rate: 8})
	}
	return streams
}

// stragglerFaults returns faults that slow down a different pair of engines every 15 s, eightfold for 5 s.
func stragglerFaults() []fault {
	var list []fault
	for i, at := 0, 10*time.Second; at < 230*time.Second; i, at = i+2, at+15*time.Second {
		list = append(list, slowdownFaults(i%engineCount, at, 5*time.Second, 8)...)
		list = append(list, slowdownFaults((i+1)%engineCount, at, 5*time.Second, 8)...)
	}
	return list
}

// tenfoldTeamWeights are the ordinary weights with the weight of team north multiplied by ten.
var tenfoldTeamWeights = []teamWeight{{"north", 3.5}, {"south", 0.30}, {"east", 0.15}, {"west", 0.12}, {"hill", 0.08}}

// unevenEntries sends half of the arrivals that do not go to their team's entry instance to two of the eight entry
// instances.
var unevenEntries = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}

// ordinaryTokensPerSecond is the mean demand of the ordinary day, in prompt and generated tokens.
const ordinaryTokensPerSecond = 71_000

func unevenLimits() map[string]float64 {
	limits := make(map[string]float64, len(ordinaryTeamWeights))
	for _, t := range ordinaryTeamWeights {
		limits[t.name] = 0.8 * t.weight * ordinaryTokensPerSecond
	}
	return limits
}
