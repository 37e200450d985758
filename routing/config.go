package routing

import "time"

// Config holds the parameters of a Table. A zero duration, ratio or share
// switches its feature off, so that the bench can measure each feature alone.
type Config struct {
	// Datacentre is the instance's own data centre.
	Datacentre string
	// Distance gives the one-way latency to other data centres; unknown ones count as DefaultDistance.
	Distance map[string]time.Duration
	// DistanceWeight multiplies twice the distance when endpoints are compared. Default 5, 0 to 100.
	DistanceWeight float64
	// Samples is how many endpoints of each data centre a decision compares; 0 compares all. Default 8.
	Samples int
	// UseReports adds the late load reports of the endpoints to the instance's own counts.
	UseReports bool
	// ReportTrust is how far a report is believed over the mean of all reports of the service. Default 0, 0 to 1.
	ReportTrust float64
	// ReportExpiry is the age from which a load report is ignored. Default 10 s.
	ReportExpiry time.Duration
	// StragglerRatio is the ratio of observed to usual times from which an endpoint counts as slow. Default 2; 0 is off.
	StragglerRatio float64
	// AffinityWeight scales the saving that a cached prefix is credited with. Default 1, 0 to 1; 0 is off.
	AffinityWeight float64
	// SlowStart is how long a new endpoint gets less work. Default 10 s; 0 is off.
	SlowStart time.Duration
	// ReservedShare is the share of endpoints that long work avoids, so that short work is not blocked. Default 0, 0 to 0.5:
	// with engines that honour priorities a reserve measured no gain (docs/decisions/routing-reserve.md).
	ReservedShare float64
}

// DefaultDistance is assumed for data centres that Config.Distance does not name.
const DefaultDistance = 40 * time.Millisecond

// DefaultConfig returns the parameters of record for one instance.
func DefaultConfig(datacentre string) Config {
	return Config{
		Datacentre:     datacentre,
		DistanceWeight: 5,
		Samples:        8,
		UseReports:     true,
		ReportTrust:    0,
		ReportExpiry:   10 * time.Second,
		StragglerRatio: 2,
		AffinityWeight: 1,
		SlowStart:      10 * time.Second,
		ReservedShare:  0,
	}
}
