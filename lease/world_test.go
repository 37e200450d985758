package lease

import (
	"fmt"
	"math/rand"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// order is one order at an endpoint that ignores fences.
type order struct {
	holder     string
	fence      uint64
	start, end time.Time
}

// world runs several instances that contend for one duty and checks them from outside.
type world struct {
	*testutil.Driver
	rng     *rand.Rand
	names   []string
	seats   map[string]*seat
	checker *testutil.Checker
	orders  []order
	record  Record
	steps   int
	faults  []string
}

// seat adapts a Keeper to the driver; tamper plants a fault after each step.
type seat struct {
	*Keeper
	tamper func(*Keeper)
	strip  bool // remove conditions from writes
}

func (s *seat) Tick(now time.Time) []objectapi.Call { return s.after(s.Keeper.Tick(now)) }
func (s *seat) Done(now time.Time, d objectapi.Done) []objectapi.Call {
	return s.after(s.Keeper.Done(now, d))
}

func (s *seat) after(out Output) []objectapi.Call {
	if s.tamper != nil {
		s.tamper(s.Keeper)
	}
	for i := range out.Calls {
		if s.strip {
			out.Calls[i].Request.Condition = objectapi.Condition{}
		}
	}
	return out.Calls
}

func newWorld(seed int64, n int, faults testutil.Faults, plant func(*seat)) *world {
	rng := rand.New(rand.NewSource(seed))
	store := testutil.NewStore(rng, faults)
	w := &world{
		Driver: testutil.NewDriver(time.UnixMilli(1_800_000_000_000), store),
		rng:    rng, seats: make(map[string]*seat), checker: testutil.NewChecker(),
	}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		w.names = append(w.names, name)
		w.start(name, plant)
	}
	return w
}

func (w *world) start(name string, plant func(*seat)) {
	incarnation := fmt.Sprintf("%s/%d", name, w.steps)
	cfg := Config{Duty: "capacity", Holder: name, Incarnation: incarnation, Checker: w.checker}
	s := &seat{Keeper: NewKeeper(discardLog, cfg)}
	if plant != nil {
		plant(s)
	}
	w.seats[name] = s
	w.Add(name, s)
}

// run takes random steps with pauses, outages, restarts, releases and orders.
func (w *world) run(steps int, plant func(*seat)) {
	for range steps {
		w.steps++
		w.Step(time.Duration(1+w.rng.Intn(400)) * time.Millisecond)
		w.disturb(plant)
		w.order()
		w.check()
	}
}

func (w *world) disturb(plant func(*seat)) {
	name := w.names[w.rng.Intn(len(w.names))]
	switch draw := w.rng.Intn(1000); {
	case draw < 10:
		w.Pause(name, time.Duration(w.rng.Intn(30_000))*time.Millisecond)
	case draw < 14:
		w.Store.SetOutage(true)
	case draw < 30:
		w.Store.SetOutage(false)
	case draw < 33:
		w.start(name, plant)
	case draw < 35 && !w.Paused(name):
		w.Submit(name, w.seats[name].after(w.seats[name].Release(w.Now)))
	case draw < 40 && w.seats[name].released:
		w.start(name, plant)
	}
}

// order gives orders to an endpoint that ignores fences. The order starts up to
// one margin after its check and lasts at most the permitted time.
func (w *world) order() {
	for _, name := range w.names {
		if w.Paused(name) || w.rng.Intn(4) != 0 {
			continue
		}
		permit, err := w.seats[name].Permit(w.Now, false)
		if err != nil {
			continue
		}
		start := w.Now.Add(time.Duration(w.rng.Int63n(int64(DefaultMargin))))
		end := start.Add(time.Duration(w.rng.Int63n(int64(permit.Timeout) + 1)))
		w.orders = append(w.orders, order{holder: w.seats[name].cfg.Incarnation, fence: permit.Fence, start: start, end: end})
	}
}

func (w *world) check() {
	holders := 0
	for _, name := range w.names {
		if _, held := w.seats[name].Held(w.Now); held {
			holders++
		}
	}
	if holders > 1 {
		w.fail("%d holders at once", holders)
	}
	w.checkRecord()
}

// checkRecord follows the stored object: one fence more at each change of holder.
func (w *world) checkRecord() {
	object, ok := w.Store.Object(objectapi.KindLease, "capacity")
	if !ok {
		return
	}
	record, err := decodeRecord(object.Value)
	if err != nil {
		w.fail("malformed record: %v", err)
		return
	}
	if record.Fence < w.record.Fence {
		w.fail("stored fence fell from %d to %d", w.record.Fence, record.Fence)
	}
	if record.Fence == w.record.Fence && record.Incarnation != w.record.Incarnation {
		w.fail("two holders with fence %d", record.Fence)
	}
	w.record = record
}

// finish checks that orders of different holders never overlapped.
func (w *world) finish() {
	for i, a := range w.orders {
		for _, b := range w.orders[i+1:] {
			if b.start.After(a.end) && b.start.Sub(a.end) > time.Minute {
				break
			}
			if a.fence != b.fence && a.start.Before(b.end) && b.start.Before(a.end) {
				w.fail("orders with fences %d and %d overlap", a.fence, b.fence)
			}
		}
	}
	for name, v := range w.checker.First {
		w.fail("invariant %s: %s", name, v.Detail)
	}
}

func (w *world) fail(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}
