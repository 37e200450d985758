package lease

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// order is one order at an endpoint that ignores fencing tokens.
type order struct {
	holder     string
	fence      uint64
	start, end time.Time
}

// alternation is the time within which package duty allows no sequence of holders A, B, A, see its Config.
const alternation = DefaultDuration * 2 / 3

// simulation simulates several instances that contend for one lease and checks the stored records and the orders.
type simulation struct {
	*testutil.Driver
	rng        *rand.Rand
	inject     func(*contender)
	names      []string
	contenders map[string]*contender
	checker    *testutil.Checker
	orders     []order
	record     Record
	steps      int
	failures   []string
	// maxCopyAge bounds the age of the copies from which the store returns; 0 for a store that loses nothing.
	maxCopyAge time.Duration
	// permitted has the incarnation that got permits with each fencing token, highestPermit the highest of these tokens.
	permitted     map[uint64]string
	highestPermit uint64
	// formerHolder is an instance that was stopped or paused at formerUntil; the store returns when the next one holds the lease.
	// "" for none.
	formerHolder string
	formerUntil  time.Time
}

// contender adapts a Keeper to the driver; tamper injects a defect after each step.
type contender struct {
	*Keeper
	tamper         func(*Keeper)
	dropConditions bool // remove the conditions from writes
	ignoreEra      bool // hide the era of the store from the Keeper
	countFences    bool // let tokens of an era count its holders instead of following the versions
}

func (c *contender) Tick(now time.Time) []objectapi.Call { return c.handleOutput(c.Keeper.Tick(now)) }
func (c *contender) Done(now time.Time, d objectapi.CallResult) []objectapi.Call {
	if c.ignoreEra {
		d.Reply.Era = 0
	}
	return c.handleOutput(c.Keeper.Done(now, d))
}

// handleOutput applies the injected defects of c and returns the calls of out.
func (c *contender) handleOutput(out Output) []objectapi.Call {
	if c.tamper != nil {
		c.tamper(c.Keeper)
	}
	for i := range out.Calls {
		if c.dropConditions {
			out.Calls[i].Request.Condition = objectapi.Condition{}
		}
		if c.countFences && out.Calls[i].Request.Op == objectapi.OpPut {
			out.Calls[i].Request.Value = c.countFence()
		}
	}
	return out.Calls
}

// countFence replaces a new token of the write in flight with the highest token observed plus one, and returns its value.
func (c *contender) countFence() []byte {
	record := &c.inFlight.record
	if record.Fence > c.fence {
		record.Fence = max(c.fence+1, uint64(c.era)<<eraShift+1)
		c.pendingWrites[len(c.pendingWrites)-1].record = *record
	}
	return record.encode()
}

func newSimulation(seed int64, n int, faults testutil.Faults, inject func(*contender)) *simulation {
	rng := rand.New(rand.NewSource(seed))
	store := testutil.NewStore(rng, faults)
	s := &simulation{
		inject: inject,
		Driver: testutil.NewDriver(time.UnixMilli(1_800_000_000_000), store),
		rng:    rng, contenders: make(map[string]*contender), checker: testutil.NewChecker(), permitted: make(map[uint64]string),
	}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		s.names = append(s.names, name)
		s.start(name, inject)
	}
	return s
}

// start starts a new incarnation of an instance. inject, if not nil, injects a defect.
func (s *simulation) start(name string, inject func(*contender)) {
	incarnation := fmt.Sprintf("%s/%d", name, s.steps)
	cfg := Config{Duty: "capacity", Holder: name, Incarnation: incarnation, Checker: s.checker}
	c := &contender{Keeper: NewKeeper(discardLog, cfg)}
	c.nextID = uint64(s.steps) << 32 // the results of calls of the former incarnation are not for this one
	if inject != nil {
		inject(c)
	}
	s.contenders[name] = c
	s.Add(name, c)
}

// run makes random steps with pauses, outages, restarts, releases and orders.
func (s *simulation) run(steps int, inject func(*contender)) {
	for range steps {
		s.steps++
		s.Step(time.Duration(1+s.rng.Intn(400)) * time.Millisecond)
		s.injectFault(inject)
		s.returnStore()
		s.observeEras()
		s.raiseFences()
		s.sendOrders()
		s.checkHolders()
		s.checkPermits()
	}
}

// injectFault injects at most one random fault: a pause, an outage or its end, a restart or a release.
func (s *simulation) injectFault(inject func(*contender)) {
	name := s.names[s.rng.Intn(len(s.names))]
	switch draw := s.rng.Intn(1000); {
	case draw < 10:
		s.Pause(name, time.Duration(s.rng.Intn(30_000))*time.Millisecond)
	case draw < 14:
		s.Store.SetOutage(true)
	case draw < 30:
		s.Store.SetOutage(false)
	case draw < 33:
		s.start(name, inject)
	case draw < 35 && !s.Paused(name):
		s.Submit(name, s.contenders[name].handleOutput(s.contenders[name].Release(s.Now)))
	case draw < 40 && s.contenders[name].released:
		s.start(name, inject)
	}
}

// raiseFences lets every instance that is not paused ask for a higher fencing token now and then, as after an order
// without an answer.
func (s *simulation) raiseFences() {
	for _, name := range s.names {
		if s.steps%raiseInterval == 0 && !s.Paused(name) {
			s.contenders[name].RaiseFence()
		}
	}
}

// raiseInterval is the number of steps between two calls of RaiseFence.
const raiseInterval = 53

// sendOrders sends orders to an endpoint that ignores fencing tokens. An order
// starts up to one margin after its Permit and lasts at most the Timeout of the
// Permit.
func (s *simulation) sendOrders() {
	for _, name := range s.names {
		if s.Paused(name) || s.rng.Intn(4) != 0 {
			continue
		}
		permit, err := s.contenders[name].Permit(s.Now, false)
		if err != nil {
			continue
		}
		start := s.Now.Add(time.Duration(s.rng.Int63n(int64(DefaultMargin))))
		end := start.Add(time.Duration(s.rng.Int63n(int64(permit.Timeout) + 1)))
		s.orders = append(s.orders, order{holder: s.contenders[name].cfg.Incarnation, fence: permit.Fence, start: start, end: end})
	}
}

// returnStore lets the store return now and then: alone, or when the next instance holds the lease after a planned stop of the
// holder, or after another return, the former holder being paused.
func (s *simulation) returnStore() {
	if s.maxCopyAge == 0 {
		return
	}
	s.restartReleased()
	holder := s.holder()
	switch {
	case s.formerHolder != "" && holder != "":
		s.restore(holder, min(s.maxCopyAge, s.Now.Sub(s.formerUntil)))
		s.Pause(s.formerHolder, 0)
		s.formerHolder = ""
	case s.formerHolder == "" && s.rng.Intn(returnInterval) == 0:
		s.beginReturn(holder)
	}
}

// beginReturn begins one of the sequences of returnStore.
func (s *simulation) beginReturn(holder string) {
	switch draw := s.rng.Intn(3); {
	case draw == 0 && holder != "":
		s.Submit(holder, s.contenders[holder].handleOutput(s.contenders[holder].Release(s.Now)))
		s.formerHolder, s.formerUntil = holder, s.Now
	case draw == 1 && holder != "":
		s.restore("", s.maxCopyAge)
		s.Submit(holder, s.contenders[holder].handleOutput(s.contenders[holder].ObserveEra(s.Now, s.Store.Era())))
		s.Pause(holder, 2*DefaultDuration)
		s.formerHolder, s.formerUntil = holder, s.Now
	default:
		s.restore(holder, s.maxCopyAge)
	}
}

// restore lets the store return from a copy of random age and, in half of the cases, pauses the holder, if there is one.
func (s *simulation) restore(holder string, maxAge time.Duration) {
	s.Store.Restore(s.Now, time.Duration(s.rng.Int63n(int64(maxAge))))
	s.record = Record{} // the stored fencing token may be lower than before
	if holder != "" && s.rng.Intn(2) == 0 {
		s.Pause(holder, time.Duration(s.rng.Int63n(int64(DefaultDuration))))
	}
}

// holder returns an instance that is not paused and holds the lease, "" for none.
func (s *simulation) holder() string {
	for _, name := range s.names {
		if _, held := s.contenders[name].Held(s.Now); held && !s.Paused(name) {
			return name
		}
	}
	return ""
}

// restartReleased restarts instances some seconds after a planned stop.
func (s *simulation) restartReleased() {
	for _, name := range s.names {
		if s.contenders[name].released && s.rng.Intn(20) == 0 {
			s.start(name, s.inject)
		}
	}
}

// returnInterval is the mean number of steps between two returns of the store that do not follow each other.
const returnInterval = 100

// observeEras tells each instance that is not paused the era now and then, as another of its calls does.
func (s *simulation) observeEras() {
	if s.maxCopyAge == 0 {
		return
	}
	for _, name := range s.names {
		if c := s.contenders[name]; !s.Paused(name) && !c.ignoreEra && s.rng.Intn(4) == 0 {
			s.Submit(name, c.handleOutput(c.ObserveEra(s.Now, s.Store.Era())))
		}
	}
}

// checkPermits fails when two incarnations get permits with one fencing token, or one gets a lower token than an earlier permit.
func (s *simulation) checkPermits() {
	for _, name := range s.names {
		permit, err := s.contenders[name].Permit(s.Now, true)
		if err != nil || s.Paused(name) {
			continue
		}
		incarnation := s.contenders[name].cfg.Incarnation
		switch former := s.permitted[permit.Fence]; {
		case former != "" && former != incarnation:
			s.recordFailure("two holders, one fence: %d of %s and %s", permit.Fence, former, incarnation)
		case permit.Fence < s.highestPermit:
			s.recordFailure("permit of %s with fencing token %d after %d", incarnation, permit.Fence, s.highestPermit)
		}
		s.permitted[permit.Fence] = incarnation
		s.highestPermit = max(s.highestPermit, permit.Fence)
	}
}

// checkHolders fails when more than one instance holds the lease.
func (s *simulation) checkHolders() {
	holders := 0
	for _, name := range s.names {
		if _, held := s.contenders[name].Held(s.Now); held {
			holders++
		}
	}
	if holders > 1 {
		s.recordFailure("%d holders at once", holders)
	}
	s.checkRecord()
}

// checkRecord fails when the stored fencing token decreases or does not change with the holder.
func (s *simulation) checkRecord() {
	object, ok := s.Store.Object(objectapi.KindLease, "capacity")
	if !ok {
		return
	}
	record, err := decodeRecord(object.Value)
	if err != nil {
		s.recordFailure("stored lease record cannot be decoded: %v", err)
		return
	}
	if fenceEra(record.Fence) < s.Store.Era() {
		return // a late write of an earlier era, which gives no lease
	}
	if record.Fence < s.record.Fence {
		s.recordFailure("stored fencing token decreased from %d to %d", s.record.Fence, record.Fence)
	}
	if record.Fence == s.record.Fence && record.Incarnation != s.record.Incarnation {
		s.recordFailure("two holders with fencing token %d", record.Fence)
	}
	s.record = record
}

// checkOrders fails when orders of different holders overlapped, came with a lower fencing token after a higher one or alternated
// between two holders, or a Keeper reported a violated invariant.
func (s *simulation) checkOrders() {
	s.checkSequence()
	for i, a := range s.orders {
		for _, b := range s.orders[i+1:] {
			if b.start.After(a.end) && b.start.Sub(a.end) > time.Minute {
				break
			}
			if a.holder != b.holder && a.start.Before(b.end) && b.start.Before(a.end) {
				s.recordFailure("orders with fencing tokens %d and %d overlap", a.fence, b.fence)
			}
		}
	}
	for name, v := range s.checker.First {
		s.recordFailure("invariant %s: %s", name, v.Detail)
	}
}

// checkSequence checks the orders in the sequence in which they start.
func (s *simulation) checkSequence() {
	sent := slices.SortedStableFunc(slices.Values(s.orders), func(a, b order) int { return a.start.Compare(b.start) })
	former, last := order{}, map[string]time.Time{}
	for _, o := range sent {
		if at, ok := last[o.holder]; ok && o.holder != former.holder && o.start.Sub(at) < alternation {
			s.recordFailure("orders of %s, %s and %s again within %s", o.holder, former.holder, o.holder, o.start.Sub(at))
		}
		if o.holder != former.holder && o.fence < former.fence {
			s.recordFailure("order with fencing token %d after one with %d", o.fence, former.fence)
		}
		former, last[o.holder] = o, o.start
	}
}

func (s *simulation) recordFailure(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}
