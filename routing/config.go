package routing

import "time"

// Config holds the parameters of a Table. A zero DistanceWeight, StragglerRatio, AffinityWeight, SlowStart or
// ReservedShare turns its feature off, so that the bench can measure each feature alone.
type Config struct {
	// Datacentre is the instance's own data centre.
	Datacentre string
	// Distance is the one-way network latency to each other data centre; DefaultDistance applies to missing ones.
	Distance map[string]time.Duration
	// DistanceWeight multiplies the round-trip time, twice the distance, in an endpoint's score. Default 5, 0 to 100.
	DistanceWeight float64
	// Samples is the number of random endpoints of each data centre that a decision compares; 0 compares all. Default 8.
	Samples int
	// UseReports adds the other instances' load, from the endpoints' late load reports, to the instance's own counts.
	UseReports bool
	// ReportWeight is the weight of an endpoint's own report; the mean of all reports of the service has the rest.
	// Default 0, 0 to 1.
	ReportWeight float64
	// ReportExpiry is the age above which an endpoint's last load report adds no load to the endpoint. Default 10 s.
	ReportExpiry time.Duration
	// StragglerRatio is the ratio of observed to expected times from which an endpoint counts as a straggler. Default 2;
	// 0 is off.
	StragglerRatio float64
	// AffinityWeight scales the number of cached prompt tokens that an endpoint is credited with. Default 1, 0 to 1;
	// 0 is off.
	AffinityWeight float64
	// SlowStart is how long a new endpoint gets less work. Default 10 s; 0 is off.
	SlowStart time.Duration
	// ReservedShare is the share of a model's endpoints that long work avoids, so that short work is not blocked there.
	// Default 0, 0 to 0.5: with engines that honour priorities a reserve measured no gain
	// (docs/decisions/routing-reserve.md).
	ReservedShare float64
}

// DefaultDistance is the one-way network latency assumed for data centres that Config.Distance does not name.
const DefaultDistance = 40 * time.Millisecond

// DefaultConfig returns the default parameters of an instance in the given data centre. Config.Distance is empty.
func DefaultConfig(datacentre string) Config {
	return Config{
		Datacentre:     datacentre,
		DistanceWeight: 5,
		Samples:        8,
		UseReports:     true,
		ReportWeight:   0,
		ReportExpiry:   10 * time.Second,
		StragglerRatio: 2,
		AffinityWeight: 1,
		SlowStart:      10 * time.Second,
		ReservedShare:  0,
	}
}
