package gossip

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/fleetstate"
	"knapweedhoist/streamorigin"
	"knapweedhoist/wire"
)

// errMalformed is returned for a datagram that is not a message of this package.
var errMalformed = errors.New("malformed fleet message")

const (
	// maxTeams, maxEndpoints and maxServices bound the entries of a message, maxSeriesLength the counts of a team.
	maxTeams, maxEndpoints, maxServices = 4096, 8192, 1024
	maxSeriesLength                     = 64
	// maxClockOffsets bounds the clock offsets of a summary.
	maxClockOffsets = 1024
)

// message is a decoded datagram: one of the four.
type message struct {
	report  *fleetstate.Report
	summary *fleetstate.Summary
	digest  *fleetstate.Digest
	origins *streamorigin.Statement
}

// decode decodes a datagram. Its error wraps errMalformed.
func decode(datagram []byte) (message, error) {
	content, err := unseal(datagram)
	if err != nil {
		return message{}, err
	}
	decoded := &wire.FleetMessage{}
	if err := proto.Unmarshal(content, decoded); err != nil {
		return message{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	switch {
	case decoded.Report != nil:
		return decodeReport(decoded.Report)
	case decoded.Summary != nil:
		return decodeSummary(decoded.Summary)
	case decoded.Digest != nil:
		return decodeDigest(decoded.Digest)
	case decoded.Origins != nil:
		return decodeOrigins(decoded.Origins)
	default:
		return message{}, fmt.Errorf("%w: empty", errMalformed)
	}
}

func decodeReport(m *wire.InstanceReport) (message, error) {
	sender, err := decodeSender(m.Sender)
	if err != nil {
		return message{}, err
	}
	state, err := decodeState(m.State)
	return message{report: &fleetstate.Report{
		Sender: sender, Weight: int(m.Weight), Leaving: m.Leaving, WantsDigest: m.WantsDigest, State: state,
	}}, err
}

func decodeSummary(m *wire.CentreSummary) (message, error) {
	sender, err := decodeSender(m.Sender)
	if err != nil {
		return message{}, err
	}
	if len(m.ClockOffsetsMs) > maxClockOffsets {
		return message{}, fmt.Errorf("%w: %d clock offsets", errMalformed, len(m.ClockOffsetsMs))
	}
	state, err := decodeState(m.State)
	summary := &fleetstate.Summary{
		Sender: sender, Live: int(m.Live), CompleteUntil: time.Unix(0, m.CompleteUntilNanos), State: state,
	}
	for _, ms := range m.ClockOffsetsMs {
		summary.ClockOffsets = append(summary.ClockOffsets, milliseconds(ms))
	}
	return message{summary: summary}, err
}

func decodeDigest(m *wire.FleetDigest) (message, error) {
	sender, err := decodeSender(m.Sender)
	if err != nil {
		return message{}, err
	}
	state, err := decodeState(m.State)
	digest := &fleetstate.Digest{
		Sender: sender, Live: int(m.Live), Total: int(m.Total), CompleteUntil: time.Unix(0, m.CompleteUntilNanos),
		Slice: int(m.Slice), Slices: int(m.Slices), State: state,
		IncludedBoot: m.IncludedBoot, IncludedSequence: m.IncludedSequence, Unlisted: m.Unlisted,
	}
	for _, peer := range m.Aggregators {
		digest.Aggregators = append(digest.Aggregators, fleetstate.Peer{Name: peer.Name, Address: peer.Address})
	}
	return message{digest: digest}, err
}

func decodeSender(m *wire.FleetSender) (fleetstate.Sender, error) {
	if m == nil || m.Instance == "" || m.DataCentre == "" || m.Address == "" || m.Boot == 0 {
		return fleetstate.Sender{}, fmt.Errorf("%w: incomplete sender", errMalformed)
	}
	return fleetstate.Sender{
		Source:  fleetstate.Source{Instance: m.Instance, Boot: m.Boot},
		Address: m.Address, DataCentre: m.DataCentre, Sequence: m.Sequence, Wall: time.Unix(0, m.WallNanos),
		Interval: milliseconds(int64(m.IntervalMs)), ConfigVersion: m.ConfigVersion, ConfigAge: milliseconds(m.ConfigAgeMs),
	}, nil
}

func decodeState(m *wire.FleetState) (fleetstate.State, error) {
	if m == nil || len(m.Teams) > maxTeams || len(m.Services) > maxServices {
		return fleetstate.State{}, fmt.Errorf("%w: no state or too many entries", errMalformed)
	}
	state := fleetstate.State{
		Used: make(fleetstate.Table), Started: make(fleetstate.Table), Offered: make(map[string]float64, len(m.Teams)),
		Levels: make(map[string]float64, len(m.Teams)), Services: make(map[string]fleetstate.ServiceLoad, len(m.Services)),
	}
	for _, team := range m.Teams {
		if len(team.Used) > maxSeriesLength || len(team.Started) > maxSeriesLength || !validFigure(float64(team.Offered)) {
			return fleetstate.State{}, fmt.Errorf("%w: team %q has too many counts or no valid demand", errMalformed, team.Team)
		}
		decodeTeam(state, team, m)
	}
	for _, load := range m.Services {
		decoded, err := decodeService(load)
		if err != nil {
			return fleetstate.State{}, err
		}
		state.Services[load.Service] = decoded
	}
	var err error
	if state.Endpoints, err = decodeLoads(m.Endpoints); err != nil {
		return fleetstate.State{}, err
	}
	if state.Limits, err = decodeLimits(m.Limits); err != nil {
		return fleetstate.State{}, err
	}
	state.Evidence, err = decodeEvidence(m.Evidence)
	return state, err
}

func decodeTeam(state fleetstate.State, team *wire.TeamState, m *wire.FleetState) {
	for i, count := range team.Used {
		state.Used.Add(team.Team, m.FirstSlot+int64(i), float64(count))
	}
	for i, count := range team.Started {
		state.Started.Add(team.Team, m.FirstWindow+int64(i), float64(count))
	}
	if team.Offered > 0 {
		state.Offered[team.Team] = float64(team.Offered)
	}
	if team.Level != 0 {
		state.Levels[team.Team] = decodeLevel(team.Level)
	}
}

// decodeService decodes the demand for a service. A newer sender may have more samples.
func decodeService(load *wire.ServiceLoad) (fleetstate.ServiceLoad, error) {
	decoded := fleetstate.ServiceLoad{
		Prefill: float64(load.Prefill), InFlight: float64(load.InFlight), Waiting: float64(load.Waiting),
	}
	for i, field := range decoded.Samples.Fields() {
		if i < len(load.Samples) {
			*field = load.Samples[i]
		}
	}
	for _, figure := range append(load.Samples, decoded.Prefill, decoded.InFlight, decoded.Waiting) {
		if !validFigure(figure) {
			return fleetstate.ServiceLoad{}, fmt.Errorf("%w: figure %v of service %q", errMalformed, figure, load.Service)
		}
	}
	return decoded, nil
}

// validFigure reports whether a rate or sum can be added to others.
func validFigure(figure float64) bool { return figure >= 0 && !math.IsInf(figure, 0) }

func decodeLoads(m *wire.EndpointLoads) (map[uint32]fleetstate.EndpointLoad, error) {
	if m == nil {
		return nil, nil
	}
	n := len(m.Keys)
	if n > maxEndpoints || len(m.Running) != n || len(m.PendingTokens) != n || len(m.FailedTenths) != n ||
		len(m.ServedTenths) != n || len(m.SlowdownTenths) != n {
		return nil, fmt.Errorf("%w: endpoint columns of different lengths", errMalformed)
	}
	loads := make(map[uint32]fleetstate.EndpointLoad, n)
	for i, key := range m.Keys {
		loads[key] = fleetstate.EndpointLoad{
			Running: int(m.Running[i]), PendingTokens: int(m.PendingTokens[i]), Failed: float64(m.FailedTenths[i]) / tenths,
			Served: float64(m.ServedTenths[i]) / tenths, Slowdown: float64(m.SlowdownTenths[i]) / tenths,
		}
	}
	return loads, nil
}
