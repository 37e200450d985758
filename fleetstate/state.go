package fleetstate

import (
	"maps"

	"knapweedhoist/endpointlimit"
	"knapweedhoist/quarantine"
)

// State is the part of a report that is merged: that of one instance, of a data centre or of the deployment.
type State struct {
	// Used counts the units of the teams' limits that were taken, by slots of SlotLength. Started counts the requests
	// that started, by usage windows.
	Used, Started Table
	// Offered is the demand of each team in the unit of its limit per second, refused requests included.
	Offered map[string]float64
	// Levels is the level of each team's token bucket over all instances, as the sender knows it. It is not merged.
	Levels map[string]float64
	// Endpoints holds the load at each endpoint by EndpointKey, Services the demand for each service.
	Endpoints map[uint32]EndpointLoad
	Services  map[string]ServiceLoad
	// Evidence holds the crashes and answers that the instances have seen, and the quarantines.
	Evidence quarantine.Evidence
	// Limits holds the rate limits of endpoints that the instances have been told.
	Limits endpointlimit.Records
}

// newState returns a State without entries.
func newState() State {
	return State{
		Used: make(Table), Started: make(Table), Offered: make(map[string]float64),
		Endpoints: make(map[uint32]EndpointLoad), Services: make(map[string]ServiceLoad),
	}
}

// addGauges adds the demand and load of other. Fleet merges the counters.
func (s *State) addGauges(other State) {
	for team, rate := range other.Offered {
		s.Offered[team] += rate
	}
	for key, load := range other.Endpoints {
		s.Endpoints[key] = s.Endpoints[key].plus(load)
	}
	for name, load := range other.Services {
		s.Services[name] = s.Services[name].plus(load)
	}
}

// subtractGauges subtracts the demand and load of other, which were included before.
func (s *State) subtractGauges(other State) {
	s.Offered, s.Endpoints, s.Services = maps.Clone(s.Offered), maps.Clone(s.Endpoints), maps.Clone(s.Services)
	for team, rate := range other.Offered {
		s.Offered[team] = max(s.Offered[team]-rate, 0)
	}
	for key, load := range other.Endpoints {
		if included, ok := s.Endpoints[key]; ok {
			s.Endpoints[key] = included.minus(load)
		}
	}
	for name, load := range other.Services {
		if included, ok := s.Services[name]; ok {
			s.Services[name] = included.minus(load)
		}
	}
}
