package timeline_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"flag"
	"fmt"
	"html"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/timeline"
)

func TestTimeline(t *testing.T) {
	// The seed is fixed unless the command line sets another one.
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20260101")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// process is an instance whose wall clock is skewed and can jump backwards.
type process struct {
	wall  time.Time
	clock *timeline.Clock
	ring  *timeline.Ring
	// inbox holds the stamps of the messages sent to this process that it has not received.
	inbox []timeline.Stamp
}

func newProcess(name string, skew time.Duration) *process {
	p := &process{wall: start.Add(skew)}
	p.clock = timeline.NewClock(func() time.Time { return p.wall })
	p.ring = timeline.NewRing(p.clock, name, "dc", 0)
	return p
}

var _ = Describe("timeline", func() {
	It("guards against duplicates, and an effect that is merged before its cause if clocks are skewed and jump", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			processes := make([]*process, rapid.IntRange(2, 4).Draw(t, "processes"))
			for i := range processes {
				skew := time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "skew")) * time.Millisecond
				processes[i] = newProcess(fmt.Sprintf("p%d", i), skew)
			}
			// The detail of each event is its number; -1 stands for no event. causes[e] lists the direct causes of
			// event e, which must come before it. last[i] is the latest event of process i, and inboxCauses[i] lists
			// the events that preceded the messages in its inbox.
			causes, last := [][]int{}, make([]int, len(processes))
			inboxCauses := make([][]int, len(processes))
			for i := range last {
				last[i] = -1
			}
			for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
				i := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
				p := processes[i]
				p.wall = p.wall.Add(time.Duration(rapid.IntRange(-50, 50).Draw(t, "jump")) * time.Millisecond)
				directCauses := []int{last[i]}
				if len(p.inbox) > 0 && rapid.Bool().Draw(t, "receive") {
					p.clock.Observe(p.inbox[0])
					directCauses = append(directCauses, inboxCauses[i][0])
					p.inbox, inboxCauses[i] = p.inbox[1:], inboxCauses[i][1:]
				}
				p.ring.Record(timeline.Event{Detail: fmt.Sprint(n)})
				causes, last[i] = append(causes, directCauses), n
				to := rapid.IntRange(0, len(processes)-1).Draw(t, "to")
				processes[to].inbox = append(processes[to].inbox, p.clock.Now())
				inboxCauses[to] = append(inboxCauses[to], n)
			}
			var streams [][]timeline.Event
			for _, p := range processes {
				streams = append(streams, p.ring.Select(timeline.Filter{}))
			}
			// One stream is given twice, as Merge must remove duplicates.
			merged := timeline.Merge(append(streams, streams[0])...)
			position := map[string]int{"-1": -1}
			for at, e := range merged {
				position[e.Detail] = at
			}
			if len(merged) != len(causes) {
				t.Fatalf("merged %d of %d events", len(merged), len(causes))
			}
			for n, directCauses := range causes {
				for _, cause := range directCauses {
					if position[fmt.Sprint(cause)] >= position[fmt.Sprint(n)] {
						t.Fatalf("event %d is merged before its cause %d", n, cause)
					}
				}
			}
		})
	})

	It("guards against one wrong clock that advances the stamps of other instances", func() {
		p := newProcess("p", 0)
		p.clock.Observe(timeline.Stamp{WallMs: start.Add(24 * time.Hour).UnixMilli()})
		Expect(p.clock.Now().WallMs).To(Equal(start.UnixMilli()))
		Expect(p.clock.IgnoredStamps()).To(Equal(uint64(1)))
	})

	It("guards against overwritten events that are not counted, a wrong order after wrapping, and a filter that ignores its team or end time", func() {
		p := newProcess("p", 0)
		ring := timeline.NewRing(p.clock, "p", "dc", 4)
		for i := range 10 {
			ring.Record(timeline.Event{Kind: timeline.KindAccept, Team: fmt.Sprint(i % 2), Detail: fmt.Sprint(i)})
		}
		Expect(ring.Dropped()).To(Equal(uint64(6)))
		details := func(f timeline.Filter) (got []string) {
			for _, e := range ring.Select(f) {
				got = append(got, e.Detail)
			}
			return got
		}
		Expect(details(timeline.Filter{})).To(Equal([]string{"6", "7", "8", "9"}))
		Expect(details(timeline.Filter{Limit: 3, Team: "1"})).To(Equal([]string{"7", "9"}))
		Expect(details(timeline.Filter{UntilMs: start.UnixMilli()})).To(BeEmpty())
	})

	It("guards against events that encoding and decoding change", func() {
		events := sample()
		encoded, err := timeline.Encode(events)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := timeline.Decode(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(events))
	})

	It("guards against a page that loads other files, is malformed, or runs the text of an event as a script", func() {
		var page bytes.Buffer
		events := sample()
		other := timeline.Event{Stamp: events[3].Stamp, Kind: "new_kind", Instance: "<script>x</script>"}
		events = append(events, other)
		Expect(timeline.WriteHTML(&page, timeline.Page{
			Title: "t", Events: timeline.Merge(events), Missing: []string{"entry-9"}, Dropped: 3,
		})).To(Succeed())
		if file := os.Getenv("TIMELINE_PAGE"); file != "" {
			Expect(os.WriteFile(file, page.Bytes(), 0o600)).To(Succeed())
		}
		text := page.String()
		Expect(text).NotTo(ContainSubstring("<script"))
		Expect(text).NotTo(MatchRegexp(`(src|href)=`))
		Expect(strings.Count(text, `class="mark"`)).To(Equal(len(events)))
		Expect(text).To(ContainSubstring("entry-9"))
		svg := text[strings.Index(text, "<svg") : strings.Index(text, "</svg>")+len("</svg>")]
		decoder := xml.NewDecoder(strings.NewReader(svg))
		var err error
		for err == nil {
			_, err = decoder.Token()
		}
		Expect(errors.Is(err, io.EOF)).To(BeTrue(), "svg: %v", err)
	})

	It("guards against marks that overlap, and events that no mark represents", func() {
		p := newProcess("p", 0)
		for i := range 40 {
			p.ring.Record(timeline.Event{Kind: timeline.KindAccept, Detail: fmt.Sprintf("event-%02d", i)})
		}
		p.wall = p.wall.Add(time.Second)
		p.ring.Record(timeline.Event{Kind: timeline.KindFinish, Detail: "last"})
		var page bytes.Buffer
		Expect(timeline.WriteHTML(&page, timeline.Page{Events: p.ring.Select(timeline.Filter{})})).To(Succeed())
		markPattern := regexp.MustCompile(`<rect class="[a-z]+" x="(\d+)" y="(\d+)" width="22" height="16"`)
		seen := make(map[string]bool)
		for _, position := range markPattern.FindAllStringSubmatch(page.String(), -1) {
			Expect(seen).NotTo(HaveKey(position[1]+","+position[2]), "two marks at the same position")
			seen[position[1]+","+position[2]] = true
		}
		Expect(seen).To(HaveLen(7), "six lanes at the first moment, one mark at the last")
		Expect(html.UnescapeString(page.String())).To(MatchRegexp(`<text [^>]*>\+35</text>`), "the mark in the sixth lane represents 40-5 events")
		Expect(page.String()).To(ContainSubstring("n events at the same place"))
	})

	It("guards against an axis whose ticks have different units", func() {
		for span, labels := range map[time.Duration][]string{
			40 * time.Millisecond: {"+0 ms", "+5 ms"}, 8 * time.Second: {"+0 s", "+1 s"},
			90 * time.Second: {"+0 s", "+10 s"}, 48 * time.Hour: {"+0 h", "+6 h"}, 30 * time.Minute: {"+0 min", "+10 min"},
		} {
			p := newProcess("p", 0)
			p.ring.Record(timeline.Event{Kind: timeline.KindAccept})
			p.wall = p.wall.Add(span)
			p.ring.Record(timeline.Event{Kind: timeline.KindFinish})
			var page bytes.Buffer
			Expect(timeline.WriteHTML(&page, timeline.Page{Events: p.ring.Select(timeline.Filter{})})).To(Succeed())
			for _, label := range labels {
				Expect(html.UnescapeString(page.String())).To(ContainSubstring(">"+label+"</text>"), span.String())
			}
		}
	})

	It("guards against an error for an empty page or an empty table", func() {
		Expect(timeline.WriteHTML(io.Discard, timeline.Page{})).To(Succeed())
		Expect(timeline.WriteTable(io.Discard, nil)).To(Succeed())
	})
})

// sample returns the merged events of a request that is handed over after its endpoint was reclaimed.
func sample() []timeline.Event {
	p, q := newProcess("entry-1", 0), newProcess("entry-2", 40*time.Millisecond)
	record := func(p *process, after time.Duration, e timeline.Event) {
		p.wall = p.wall.Add(after)
		p.ring.Record(e)
	}
	ms := time.Millisecond
	request := func(kind timeline.Kind, attempt int, endpoint string) timeline.Event {
		return timeline.Event{Kind: kind, Request: "01JE-7", Attempt: attempt, Team: "ferry-office", Endpoint: endpoint}
	}
	record(p, 0, request(timeline.KindAccept, 0, ""))
	record(p, 2*ms, request(timeline.KindChoose, 1, "scribe-pool-3"))
	record(p, 1*ms, request(timeline.KindAttempt, 1, "scribe-pool-3"))
	record(p, 300*ms, request(timeline.KindFirstToken, 1, "scribe-pool-3"))
	record(p, 400*ms, timeline.Event{Kind: timeline.KindEndpoint, Endpoint: "scribe-pool-3", Step: "membership/leaving"})
	record(p, 5*ms, request(timeline.KindResume, 2, "scribe-pool-5"))
	record(p, 900*ms, timeline.Event{Kind: timeline.KindHandover, Request: "01JE-7", Peer: "entry-2", Step: "handover/release"})
	q.clock.Observe(p.clock.Now())
	record(q, 20*ms, timeline.Event{Kind: timeline.KindMember, Peer: "entry-1", Step: "membership/leaving"})
	record(q, 1600*ms, request(timeline.KindAttempt, 3, "scribe-pool-5"))
	record(q, 250*ms, request(timeline.KindFinish, 3, "scribe-pool-5"))
	record(q, 10*ms, timeline.Event{Kind: timeline.KindPlatformDown, Step: "platform/watch"})
	return timeline.Merge(p.ring.Select(timeline.Filter{}), q.ring.Select(timeline.Filter{}))
}
