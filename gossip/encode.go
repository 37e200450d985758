package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/fleetstate"
	"knapweedhoist/wire"
)

// encodeReport returns the datagram of a report.
func encodeReport(r fleetstate.Report) ([]byte, error) {
	return seal(&wire.FleetMessage{Report: &wire.InstanceReport{
		Sender: encodeSender(r.Sender), Weight: uint32(r.Weight), Leaving: r.Leaving, WantsDigest: r.WantsDigest,
		State: encodeState(r.State),
	}})
}

// encodeSummary returns the datagram of a summary.
func encodeSummary(s fleetstate.Summary) ([]byte, error) {
	message := &wire.CentreSummary{
		Sender: encodeSender(s.Sender), Live: uint32(s.Live), CompleteUntilNanos: s.CompleteUntil.UnixNano(),
		State: encodeState(s.State),
	}
	for _, offset := range s.ClockOffsets {
		message.ClockOffsetsMs = append(message.ClockOffsetsMs, offset.Milliseconds())
	}
	return seal(&wire.FleetMessage{Summary: message})
}

// encodeDigest returns the message of a digest without the fields that depend on the receiver.
func encodeDigest(d fleetstate.Digest) ([]byte, error) {
	message := &wire.FleetDigest{
		Sender: encodeSender(d.Sender), Live: uint32(d.Live), Total: uint32(d.Total),
		CompleteUntilNanos: d.CompleteUntil.UnixNano(), Slice: uint32(d.Slice), Slices: uint32(d.Slices),
		State: encodeState(d.State),
	}
	for _, peer := range d.Aggregators {
		message.Aggregators = append(message.Aggregators, &wire.FleetPeer{Name: peer.Name, Address: peer.Address})
	}
	return proto.Marshal(&wire.FleetMessage{Digest: message})
}

// addressDigest returns the datagram of an encoded digest for one receiver. Decoders merge the fields of two messages in
// a row, so that the part that is the same for all receivers is encoded once.
func addressDigest(encoded []byte, target fleetstate.DigestTarget) ([]byte, error) {
	own, err := proto.Marshal(&wire.FleetMessage{Digest: &wire.FleetDigest{
		IncludedBoot: target.Boot, IncludedSequence: target.Sequence, Unlisted: target.Unlisted,
	}})
	if err != nil {
		return nil, err
	}
	return sealBytes(encoded, own), nil
}

func encodeSender(s fleetstate.Sender) *wire.FleetSender {
	return &wire.FleetSender{
		Instance: s.Source.Instance, Boot: s.Source.Boot, Address: s.Address, DataCentre: s.DataCentre,
		Sequence: s.Sequence, WallNanos: s.Wall.UnixNano(), IntervalMs: uint32(s.Interval.Milliseconds()),
		ConfigVersion: s.ConfigVersion, ConfigAgeMs: s.ConfigAge.Milliseconds(),
	}
}

func encodeState(s fleetstate.State) *wire.FleetState {
	message := &wire.FleetState{FirstSlot: firstSlot(s.Used), FirstWindow: firstSlot(s.Started)}
	for team := range teamNames(s) {
		encoded := &wire.TeamState{Team: team, Offered: float32(s.Offered[team])}
		for _, count := range countsFrom(s.Used[team], message.FirstSlot) {
			encoded.Used = append(encoded.Used, uint64(math.Round(count)))
		}
		for _, count := range countsFrom(s.Started[team], message.FirstWindow) {
			encoded.Started = append(encoded.Started, uint32(count))
		}
		if level, ok := s.Levels[team]; ok {
			encoded.Level = encodeLevel(level)
		}
		message.Teams = append(message.Teams, encoded)
	}
	message.Endpoints = encodeLoads(s.Endpoints)
	message.Evidence = encodeEvidence(s.Evidence)
	message.Limits = encodeLimits(s.Limits)
	for name, load := range s.Services {
		encoded := &wire.ServiceLoad{
			Service: name, Prefill: float32(load.Prefill), InFlight: float32(load.InFlight), Waiting: float32(load.Waiting),
		}
		for _, field := range load.Samples.Fields() {
			encoded.Samples = append(encoded.Samples, *field)
		}
		message.Services = append(message.Services, encoded)
	}
	return message
}

// encodeLevel encodes a level so that 0 means that it is unknown.
func encodeLevel(level float64) int64 {
	rounded := int64(math.Round(level))
	if rounded < 0 {
		return rounded
	}
	return rounded + 1
}

func decodeLevel(encoded int64) float64 {
	if encoded < 0 {
		return float64(encoded)
	}
	return float64(encoded - 1)
}

// teamNames returns the set of the teams for which s has any figure.
func teamNames(s fleetstate.State) map[string]bool {
	names := make(map[string]bool)
	for team := range s.Used {
		names[team] = true
	}
	for team := range s.Started {
		names[team] = true
	}
	for team := range s.Offered {
		names[team] = true
	}
	for team := range s.Levels {
		names[team] = true
	}
	return names
}

// firstSlot returns the lowest first slot of all series, 0 without any.
func firstSlot(table fleetstate.Table) int64 {
	first := int64(0)
	for _, series := range table {
		if len(series.Counts) > 0 && (first == 0 || series.First < first) {
			first = series.First
		}
	}
	return first
}

// countsFrom returns the counts of a series from the slot first on, which is not after its first slot.
func countsFrom(series *fleetstate.Series, first int64) []float64 {
	if series == nil || len(series.Counts) == 0 {
		return nil
	}
	return append(make([]float64, series.First-first), series.Counts...)
}

func encodeLoads(loads map[uint32]fleetstate.EndpointLoad) *wire.EndpointLoads {
	columns := &wire.EndpointLoads{}
	for key, load := range loads {
		if load == (fleetstate.EndpointLoad{}) {
			continue
		}
		columns.Keys = append(columns.Keys, key)
		columns.Running = append(columns.Running, uint32(load.Running))
		columns.PendingTokens = append(columns.PendingTokens, uint32(load.PendingTokens))
		columns.FailedTenths = append(columns.FailedTenths, encodeTenths(load.Failed))
		columns.ServedTenths = append(columns.ServedTenths, encodeTenths(load.Served))
		columns.SlowdownTenths = append(columns.SlowdownTenths, encodeTenths(load.Slowdown))
	}
	return columns
}

// tenths is the factor of figures that are encoded in tenths.
const tenths = 10

func encodeTenths(value float64) uint32 { return uint32(math.Round(max(value, 0) * tenths)) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
