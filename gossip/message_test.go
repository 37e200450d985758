package gossip

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/endpointlimit"
	"knapweedhoist/enginemodel"
	"knapweedhoist/fleetstate"
	"knapweedhoist/quarantine"
	"knapweedhoist/streamorigin"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gossip")
}

func exampleSender() fleetstate.Sender {
	return fleetstate.Sender{
		Source: fleetstate.Source{Instance: "a", Boot: 7}, Address: "10.0.0.1:1", DataCentre: "dc", Sequence: 9,
		Interval: 200 * time.Millisecond, Wall: time.Unix(2_000_000_000, 5), ConfigVersion: 3, ConfigAge: time.Second,
	}
}

func exampleState() fleetstate.State {
	state := fleetstate.State{
		Used: make(fleetstate.Table), Started: make(fleetstate.Table),
		Offered: map[string]float64{"t": 12.5, "u": 3}, Levels: map[string]float64{"t": -40, "u": 0},
		Endpoints: map[uint32]fleetstate.EndpointLoad{5: {Running: 3, PendingTokens: 17_000, Failed: 1, Served: 4, Slowdown: 4.5}},
		Services:  map[string]fleetstate.ServiceLoad{"s": {Prefill: 1024, InFlight: 2.5, Waiting: 1, Samples: enginemodel.Samples{Count: 8, Residence: 0.25}}},
	}
	state.Evidence = quarantine.Evidence{
		Crashes: []quarantine.Crash{{Process: 1, Age: time.Second, Keys: []quarantine.Key{2, 3}}, {Process: 4, Keys: []quarantine.Key{quarantine.RequestKey(5)}}},
		Answers: []quarantine.Answer{{Key: 2, Age: 20 * time.Millisecond}},
		Records: []quarantine.Record{{Key: 3, Epoch: 2, Lifted: true, Age: time.Minute, RefusedAge: time.Second}},
	}
	state.Limits = endpointlimit.Records{
		{Process: 1, PerSecond: 2.4, Age: time.Second}, {Process: 2, Ended: true, Age: time.Minute}, {Process: 3},
	}
	state.Used.Add("t", 1000, 500)
	state.Used.Add("t", 1003, 700)
	state.Used.Add("u", 1002, 1)
	state.Started.Add("t", 40, 6)
	return state
}

var _ = ginkgo.Describe("Messages", func() {
	// Guards against an end of a limit that counts as younger than it is because its age is rounded or does not fit.
	ginkgo.It("do not make the end of a limit younger", func() {
		for _, age := range []time.Duration{100 * time.Microsecond, 60 * 24 * time.Hour} {
			decoded, err := decodeLimits(encodeLimits(endpointlimit.Records{{Process: 1, Ended: true, Age: age}}))
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded[0].Age).To(BeNumerically(">=", min(age, 49*24*time.Hour)))
		}
	})

	// Guards against a field that is lost or changed on the way.
	ginkgo.It("decode to what was encoded", func() {
		report := fleetstate.Report{Sender: exampleSender(), Weight: 400, Leaving: true, WantsDigest: true, State: exampleState()}
		datagram, err := encodeReport(report)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := decode(datagram)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.report.Sender).To(Equal(report.Sender))
		expectSameState(decoded.report.State, report.State)
		Expect([]any{decoded.report.Weight, decoded.report.Leaving, decoded.report.WantsDigest}).To(Equal([]any{400, true, true}))

		summary := fleetstate.Summary{
			Sender: exampleSender(), Live: 49, CompleteUntil: time.Unix(1_999_999_999, 0),
			ClockOffsets: []time.Duration{-2 * time.Second, time.Millisecond}, State: exampleState(),
		}
		datagram, err = encodeSummary(summary)
		Expect(err).NotTo(HaveOccurred())
		decoded, err = decode(datagram)
		Expect(err).NotTo(HaveOccurred())
		expectSameState(decoded.summary.State, summary.State)
		summary.State, decoded.summary.State = fleetstate.State{}, fleetstate.State{}
		Expect(*decoded.summary).To(Equal(summary))
	})

	// Guards against streams that go on at another version because their origin was changed on the way.
	ginkgo.It("state the origins of streams", func() {
		entries := []streamorigin.Entry{
			{Key: 1 << 63, Origin: streamorigin.Origin{Service: "s", Version: "v1"}, Remaining: 30 * time.Second},
			{Key: 2, Origin: streamorigin.Origin{Service: "s", Version: "v2"}, Remaining: time.Millisecond},
			{Key: 3, Origin: streamorigin.Origin{Service: "s", Version: "v1"}, Remaining: time.Second},
		}
		statement := streamorigin.Statement{InService: map[streamorigin.Origin]bool{{Service: "s", Version: "v3"}: true, entries[0].Origin: true}, Entries: entries, WrittenAt: time.UnixMilli(1_700_000_000_123)}
		datagram, err := encodeOrigins(statement)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := decode(datagram)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.origins).To(HaveValue(Equal(statement)))
		datagram, err = encodeOrigins(streamorigin.Statement{Entries: slices.Repeat(entries[:1], MaxOrigins+1)})
		Expect(err).NotTo(HaveOccurred())
		_, err = decode(datagram)
		Expect(err).To(MatchError(errMalformed))
	})

	// Guards against origins of streams that are received and dropped.
	ginkgo.It("reach the handler of origins", func() {
		statement := streamorigin.Statement{InService: map[streamorigin.Origin]bool{{Service: "s", Version: "v1"}: true}, Entries: []streamorigin.Entry{}}
		datagram, err := encodeOrigins(statement)
		Expect(err).NotTo(HaveOccurred())
		var handled []streamorigin.Statement
		socket := &Socket{lg: slog.New(slog.DiscardHandler)}
		socket.handle(datagram, netip.AddrPort{}, Handler{Origins: func(s streamorigin.Statement) { handled = append(handled, s) }})
		Expect(handled).To(Equal([]streamorigin.Statement{statement}))
	})

	// Guards against a member that subtracts the wrong report of its own from a digest.
	ginkgo.It("address one encoded digest to each receiver", func() {
		digest := fleetstate.Digest{
			Sender: exampleSender(), Live: 3, Total: 4, CompleteUntil: time.Unix(1_999_999_999, 0), Slice: 1, Slices: 2,
			Aggregators: []fleetstate.Peer{{Name: "a", Address: "10.0.0.1:1"}}, State: exampleState(),
		}
		encoded, err := encodeDigest(digest)
		Expect(err).NotTo(HaveOccurred())
		for _, target := range []fleetstate.DigestTarget{{Boot: 1, Sequence: 2}, {Boot: 3, Sequence: 4, Unlisted: true}} {
			datagram, err := addressDigest(encoded, target)
			Expect(err).NotTo(HaveOccurred())
			decoded, err := decode(datagram)
			Expect(err).NotTo(HaveOccurred())
			expectSameState(decoded.digest.State, digest.State)
			Expect(decoded.digest.Aggregators).To(Equal(digest.Aggregators))
			Expect([]uint64{decoded.digest.IncludedBoot, decoded.digest.IncludedSequence}).To(Equal([]uint64{target.Boot, target.Sequence}))
			Expect(decoded.digest.Unlisted).To(Equal(target.Unlisted))
		}
	})

	// Guards against a datagram that was cut or changed on the way and replaces the state of its sender.
	ginkgo.It("are rejected when they were cut or changed", func() {
		datagram, err := encodeReport(fleetstate.Report{Sender: exampleSender(), State: exampleState()})
		Expect(err).NotTo(HaveOccurred())
		for n := range datagram {
			_, err := decode(datagram[:n])
			Expect(err).To(MatchError(errMalformed))
			changed := append([]byte(nil), datagram...)
			changed[n] ^= 0x10
			_, err = decode(changed)
			Expect(err).To(MatchError(errMalformed))
		}
	})
})

func expectSameState(decoded, encoded fleetstate.State) {
	for team, series := range encoded.Used {
		for i, count := range series.Counts {
			Expect(decoded.Used.At(team, series.First+int64(i))).To(Equal(count))
		}
	}
	Expect(decoded.Started.At("t", 40)).To(Equal(encoded.Started.At("t", 40)))
	Expect(decoded.Offered).To(Equal(encoded.Offered))
	Expect(decoded.Levels).To(Equal(encoded.Levels))
	Expect(decoded.Endpoints).To(Equal(encoded.Endpoints))
	Expect(decoded.Services).To(Equal(encoded.Services))
}

// FuzzDecode guards against a datagram that ends the process. The checksum is added, so that the fuzzer reaches the
// fields.
func FuzzDecode(f *testing.F) {
	report, err := encodeReport(fleetstate.Report{Sender: exampleSender(), State: exampleState()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(report[checksumBytes:])
	origins, err := encodeOrigins(streamorigin.Statement{Entries: []streamorigin.Entry{{Key: 1, Remaining: time.Second}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(origins[checksumBytes:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		decoded, err := decode(sealBytes(content))
		if err != nil {
			return
		}
		fleet := fleetstate.NewFleet(fleetstate.Config{
			Self: fleetstate.Source{Instance: "self", Boot: 1}, DataCentre: "dc", IsLocal: func(uint32) bool { return false },
		})
		now := time.Unix(1000, 0)
		fleet.Advance(now, 1000)
		switch {
		case decoded.report != nil:
			fleet.ObserveReport(now, *decoded.report)
		case decoded.summary != nil:
			fleet.ObserveSummary(now, *decoded.summary)
		case decoded.origins != nil:
			streamorigin.NewDirectory(time.Second, 0).Learn(now, *decoded.origins)
		default:
			fleet.ObserveDigest(now, *decoded.digest)
		}
		fleet.Advance(now, 1000)
		fleet.ReportTargets(now)
		fleet.SummaryTargets(now, 1)
		digest := fleet.OwnDigest(now, fleetstate.Sender{}, false, 1)
		if _, err := encodeDigest(digest); err != nil {
			t.Fatal(err)
		}
	})
}
