package membership_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/engine"
	"knapweedhoist/invariant"
	"knapweedhoist/membership"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

func TestMembership(t *testing.T) {
	// The seed is fixed unless the command line sets one.
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20260101")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// failingChecker is a Checker that fails the test on a violated invariant.
type failingChecker struct {
	t interface{ Fatalf(string, ...any) }
}

func (s failingChecker) Violated(v invariant.Violation) {
	s.t.Fatalf("%s at %s: %s", v.Name, v.Step, v.Detail)
}

// cluster is a set of tables that exchange their datagrams in memory.
type cluster struct {
	now    time.Time
	tables map[string]*membership.Table // by datagram address
	down   map[string]bool              // datagram addresses of stopped instances, which neither send nor receive
	listed []membership.Entry
}

func newCluster(checker failingChecker, datacentres, perDatacentre int) *cluster {
	s := &cluster{now: start, tables: make(map[string]*membership.Table), down: make(map[string]bool)}
	for i := range datacentres * perDatacentre {
		id := fmt.Sprintf("e%02d", i)
		e := membership.Entry{
			ID: id, Incarnation: "01J" + id, Kind: membership.KindEntry,
			Datacentre: fmt.Sprintf("dc%d", i%datacentres), Address: id + ":7",
		}
		s.listed = append(s.listed, e)
		s.tables[e.Address] = membership.NewTable(membership.Config{
			ID: e.ID, Incarnation: e.Incarnation, Datacentre: e.Datacentre, DatagramAddress: e.Address,
			PeerAddress: id + ":8",
		}, checker, timeline.Discard, start)
	}
	for i := range 2 * datacentres {
		id := fmt.Sprintf("p%02d", i)
		s.listed = append(s.listed, membership.Entry{
			ID: id, Incarnation: "01J" + id, Kind: membership.KindEndpoint, Service: "s",
			Datacentre: fmt.Sprintf("dc%d", i%datacentres), Address: id + ":9",
		})
	}
	for _, table := range s.tables {
		table.ApplyList(start, s.listed)
	}
	return s
}

func (s *cluster) deliver(out []membership.Outgoing) {
	for _, o := range out {
		for _, to := range o.To {
			if table, ok := s.tables[to]; ok && !s.down[to] {
				table.ApplyHeartbeat(s.now, o.Heartbeat)
			}
		}
	}
}

// run advances the clock by n times MinInterval and delivers the heartbeats of each.
func (s *cluster) run(n int) {
	for range n {
		s.now = s.now.Add(membership.MinInterval)
		for _, address := range s.addresses() {
			if !s.down[address] {
				s.deliver(s.tables[address].Tick(s.now, membership.LocalState{}))
			}
		}
	}
}

func (s *cluster) addresses() []string {
	var addresses []string
	for _, e := range s.listed {
		if e.Kind == membership.KindEntry {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

var _ = Describe("membership", func() {
	It("guards against a lagging source that makes a left incarnation live again", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := membership.NewTable(membership.Config{ID: "self", Incarnation: "01Jself", Datacentre: "dc0"},
				failingChecker{t}, timeline.Discard, start)
			now, left := start, map[string]bool{}
			incarnation := rapid.SampledFrom([]string{"01Ja", "01Jb", "01Jc", "01Jd"})
			entry := func(t *rapid.T) membership.Entry {
				kind := rapid.SampledFrom([]membership.Kind{membership.KindEntry, membership.KindEndpoint}).Draw(t, "kind")
				drawn := incarnation.Draw(t, "incarnation")
				if kind == membership.KindEndpoint {
					drawn += "-endpoint"
				}
				return membership.Entry{
					// Clearing the lowest bit gives the incarnations b and c the same id, and a the id "`".
					ID: string(drawn[3]&^1) + string(kind), Incarnation: drawn, Kind: kind, Datacentre: "dc0",
					Address: drawn + ":1", Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"list": func(t *rapid.T) {
					entries := rapid.SliceOfN(rapid.Custom(entry), 0, 6).Draw(t, "entries")
					table.ApplyList(now, entries)
					for _, e := range entries {
						left[e.Incarnation] = left[e.Incarnation] || e.Leaving
					}
				},
				"heartbeat": func(t *rapid.T) {
					e := entry(t)
					table.ApplyHeartbeat(now, &wire.Heartbeat{
						Instance: e.ID, Incarnation: e.Incarnation, Datacentre: "dc0", Leaving: e.Leaving,
						Loads: []*wire.EndpointLoad{{Endpoint: "bendpoint"}, {Endpoint: "`endpoint"}},
					})
					left[e.Incarnation] = left[e.Incarnation] || e.Leaving
				},
				"leave": func(t *rapid.T) {
					e := entry(t)
					table.ApplyLeaves(now, []*wire.Leave{{Id: e.ID, Incarnation: e.Incarnation}})
					left[e.Incarnation] = true
				},
				"notice": func(t *rapid.T) {
					e := entry(t)
					table.ApplyNotice(now, membership.Notice{ID: e.ID, Incarnation: e.Incarnation})
					left[e.Incarnation] = true
				},
				"tick": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
					table.Tick(now, membership.LocalState{})
				},
				"": func(t *rapid.T) {
					view := table.View()
					for _, m := range view.Live() {
						if left[m.Incarnation] {
							t.Fatalf("member %s left and is live", m.Incarnation)
						}
					}
					for _, e := range view.Service("") {
						if left[e.Incarnation] {
							t.Fatalf("endpoint %s left and is offered", e.Incarnation)
						}
					}
				},
			})
		})
	})

	It("guards against instances that disagree about watchers or owners, with 1 to 4 data centres", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			datacentres := rapid.IntRange(1, 4).Draw(t, "datacentres")
			perDatacentre := rapid.IntRange(1, 5).Draw(t, "each")
			s := newCluster(failingChecker{t}, datacentres, perDatacentre)
			s.run(12)
			watches := map[string]int{}
			owners := map[string]string{}
			for _, address := range s.addresses() {
				view := s.tables[address].View()
				if len(view.Live()) != datacentres*perDatacentre {
					t.Fatalf("%s sees %d of %d live", address, len(view.Live()), datacentres*perDatacentre)
				}
				for _, e := range view.Watched() {
					watches[e.ID]++
				}
				for shard := range 8 {
					key := fmt.Sprintf("claim/%d", shard)
					owner := view.Owner(key).Incarnation
					if owners[key] != "" && owners[key] != owner {
						t.Fatalf("%s is owned by %s and %s", key, owners[key], owner)
					}
					owners[key] = owner
				}
			}
			for i := range datacentres {
				datacentre, watching := fmt.Sprintf("dc%d", i), 0
				for _, address := range s.addresses() {
					view := s.tables[address].View()
					if view.Self.Datacentre == datacentre && view.WatchesConfig() {
						watching++
					}
				}
				if watching != min(2, perDatacentre) {
					t.Fatalf("%s has %d configuration watchers", datacentre, watching)
				}
			}
			for id, n := range watches {
				if n != min(2, perDatacentre) {
					t.Fatalf("endpoint %s has %d watchers", id, n)
				}
			}
		})
	})

	It("guards against the removal of one member that moves keys between two others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var members []*membership.Member
			for i := range rapid.IntRange(2, 40).Draw(t, "members") {
				members = append(members, &membership.Member{Incarnation: fmt.Sprintf("01J%03d", i)})
			}
			gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
			rest := slices.Delete(slices.Clone(members), gone, gone+1)
			for i := range 32 {
				key := fmt.Sprintf("claim/%d", i)
				before, after := membership.Choose(members, key, 2), membership.Choose(rest, key, 1)
				want := before[0]
				if want == members[gone] {
					want = before[1]
				}
				if after[0] != want {
					t.Fatalf("%s moved from %s to %s", key, before[0].Incarnation, after[0].Incarnation)
				}
			}
		})
	})

	It("guards against a stopped instance that stays live and one that stays dead after a short partition", func() {
		s := newCluster(failingChecker{GinkgoT()}, 2, 3)
		s.run(10)
		s.down["e01:7"] = true
		state := func(observer string) membership.State { return s.tables[observer].View().Member("01Je01").State }
		s.run(membership.SuspectIntervals + 1)
		Expect(state("e03:7")).To(Equal(membership.Suspect))
		s.run(membership.DeadIntervals)
		Expect(state("e03:7")).To(Equal(membership.Dead))
		s.run(membership.DeadIntervals)
		Expect(state("e00:7")).To(Equal(membership.Dead))
		s.down["e01:7"] = false
		s.run(12)
		Expect(state("e03:7")).To(Equal(membership.Live))
		Expect(state("e00:7")).To(Equal(membership.Live))
	})

	It("guards against a leave that is announced late or not repeated, and against a lost successor", func() {
		s := newCluster(failingChecker{GinkgoT()}, 2, 3)
		s.run(10)
		leaver := s.tables["e01:7"]
		out := leaver.ApplyNotice(s.now, membership.Notice{ID: "e01", Incarnation: "01Je01", Successor: "01Je03"})
		Expect(out).To(HaveLen(1))
		Expect(out[0].To).To(HaveLen(5))
		s.down["e00:7"] = true
		s.deliver(out)
		s.down["e00:7"] = false
		Expect(s.tables["e02:7"].View().Member("01Je01").State).To(Equal(membership.Leaving))
		Expect(s.tables["e00:7"].View().Member("01Je01").State).To(Equal(membership.Live))
		s.run(2)
		Expect(s.tables["e00:7"].View().Member("01Je01").State).To(Equal(membership.Leaving))
		repeats := 2
		for ; len(leaver.Tick(s.now, membership.LocalState{})[0].Heartbeat.GetLeaves()) > 0; repeats++ {
		}
		Expect(repeats).To(Equal(membership.LeaveRepeats))
		s.tables["e03:7"].ApplyNotice(s.now, membership.Notice{ID: "e03", Incarnation: "01Je03", Successor: "01Je05"})
		last, ok := s.tables["e03:7"].View().Successor("01Je01")
		Expect(ok).To(BeTrue())
		Expect(last).To(Equal("01Je05"))
	})

	It("guards against a leaving instance that receives no heartbeats of the other data centres during its handover", func() {
		s := newCluster(failingChecker{GinkgoT()}, 2, 1)
		s.run(10)
		leaver := s.tables["e00:7"]
		s.deliver(leaver.ApplyNotice(s.now, membership.Notice{ID: "e00", Incarnation: "01Je00", Remaining: time.Minute}))
		s.run(30)
		Expect(leaver.View().Member("01Je01").State).To(Equal(membership.Live))
		Expect(s.tables["e01:7"].View().Member("01Je00").State).To(Equal(membership.Leaving))
	})

	It("guards against a leave notice that does not reach the leaving instance itself", func() {
		s := newCluster(failingChecker{GinkgoT()}, 2, 1)
		s.run(10)
		out := s.tables["e01:7"].ApplyNotice(s.now, membership.Notice{ID: "e00", Incarnation: "01Je00", Remaining: time.Minute})
		Expect(out).To(HaveLen(1)) // the immediate datagram is lost
		s.run(2)
		Expect(s.tables["e00:7"].View().Self.State).To(Equal(membership.Leaving))
	})

	It("guards against skipping a successor that is leaving and still has requests", func() {
		s := newCluster(failingChecker{GinkgoT()}, 1, 4)
		s.run(10)
		table := s.tables["e00:7"]
		table.ApplyNotice(s.now, membership.Notice{ID: "e01", Incarnation: "01Je01", Successor: "01Je02"})
		table.ApplyNotice(s.now, membership.Notice{ID: "e02", Incarnation: "01Je02", Successor: "01Je03"})
		next, ok := table.View().NextSuccessor("01Je01")
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal("01Je02"))
		s.down["e02:7"] = true
		s.run(20)
		next, _ = table.View().NextSuccessor("01Je01")
		Expect(next).To(Equal("01Je03"))
		_, ok = table.View().NextSuccessor("01Je03")
		Expect(ok).To(BeFalse())
	})

	It("guards against a relayed leave that replaces a newer successor", func() {
		s := newCluster(failingChecker{GinkgoT()}, 1, 2)
		table := s.tables["e00:7"]
		heartbeat := func(successor string) *wire.Heartbeat {
			return &wire.Heartbeat{Instance: "e01", Incarnation: "01Je01", Datacentre: "dc0", Leaving: true, Successor: successor}
		}
		table.ApplyHeartbeat(s.now, heartbeat("01Jfirst"))
		table.ApplyHeartbeat(s.now, heartbeat("01Jsecond"))
		table.ApplyLeaves(s.now, []*wire.Leave{{Id: "e01", Incarnation: "01Je01", Successor: "01Jfirst"}})
		last, _ := table.View().Successor("01Je01")
		Expect(last).To(Equal("01Jsecond"))
	})

	It("guards against an older load report that replaces a newer one", func() {
		s := newCluster(failingChecker{GinkgoT()}, 1, 1)
		table := s.tables["e00:7"]
		table.StoreLoad(s.now, "p00", engine.LoadReport{Running: 2})
		table.ApplyHeartbeat(s.now, &wire.Heartbeat{
			Instance: "x", Incarnation: "01Jx", Datacentre: "dc0",
			Loads: []*wire.EndpointLoad{{Endpoint: "p00", AgeMs: 900, Running: 9}},
		})
		e := table.View().Endpoint("p00")
		age, _ := e.LoadAge(s.now.Add(time.Second))
		Expect(e.Load.Running).To(Equal(2))
		Expect(age).To(Equal(time.Second))
	})

	It("guards against a second member for an instance that the platform lists under its own incarnation", func() {
		s := newCluster(failingChecker{GinkgoT()}, 2, 2)
		table := s.tables["e00:7"]
		s.run(20)
		entries := slices.Clone(s.listed)
		for i := range entries {
			if entries[i].Kind == membership.KindEntry {
				entries[i].Incarnation = "01H-platform-" + entries[i].ID
			}
		}
		table.ApplyList(s.now, entries)
		ids := make(map[string]int)
		for _, m := range table.View().Members {
			ids[m.ID]++
		}
		Expect(ids).To(Equal(map[string]int{"e00": 1, "e01": 1, "e02": 1, "e03": 1}))
	})

	It("guards against a leaving instance that marks the members of other data centres as dead and finds no successor", func() {
		s := newCluster(failingChecker{GinkgoT()}, 2, 2)
		s.run(20)
		leaving := s.tables["e00:7"]
		leaving.ApplyNotice(s.now, membership.Notice{ID: "e00", Incarnation: "01Je00", Remaining: time.Minute})
		s.run(40)
		states := make(map[string]membership.State)
		for _, m := range leaving.View().Members {
			states[m.ID] = m.State
		}
		Expect(states).To(Equal(map[string]membership.State{
			"e00": membership.Leaving, "e01": membership.Live, "e02": membership.Live, "e03": membership.Live,
		}))
	})

	It("guards against a leaving instance that is not added again after a partition although it still owns requests", func() {
		table := membership.NewTable(membership.Config{ID: "s", Incarnation: "01Js", Datacentre: "x"},
			failingChecker{GinkgoT()}, timeline.Discard, start)
		heartbeat := &wire.Heartbeat{
			Instance: "e", Incarnation: "01Je", Datacentre: "x", PeerAddress: "10.0.0.1:1", DatagramAddress: "10.0.0.1:2",
			Leaving: true,
		}
		table.ApplyHeartbeat(start, heartbeat)
		now := start
		for range 20 {
			now = now.Add(time.Second)
			table.Tick(now, membership.LocalState{})
		}
		Expect(table.View().Member("01Je")).To(BeNil())
		table.ApplyHeartbeat(now, heartbeat)
		Expect(table.View().Member("01Je").State).To(Equal(membership.Leaving))
	})

	It("guards against a heartbeat interval whose traffic exceeds the budget in a large data centre", func() {
		s := newCluster(failingChecker{GinkgoT()}, 1, 60)
		Expect(s.tables["e00:7"].Interval()).To(Equal(3 * time.Second))
	})

	It("guards against a table of members that grows with each incarnation", func() {
		table := membership.NewTable(membership.Config{ID: "s", Incarnation: "01Js", MaxLeftIncarnations: 4, MaxMembers: 4},
			failingChecker{GinkgoT()}, timeline.Discard, start)
		for i := range 20 {
			in := fmt.Sprintf("01J%02d", i)
			table.ApplyHeartbeat(start, &wire.Heartbeat{Instance: in, Incarnation: in})
		}
		Expect(len(table.View().Members)).To(Equal(5))
	})
})
