package standin_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/objectapi"
	"knapweedhoist/platform"
	"knapweedhoist/platform/platformtest"
	"knapweedhoist/standin"
)

// testConfig has rate limits that no test reaches.
var testConfig = standin.PlatformConfig{ReadsPerSecond: 1 << 20, WritesPerSecond: 1 << 20, HTTP: platformtest.ServeObjects}

func newClient(addr string) *platform.Store {
	client := platform.NewStore(platform.StoreConfig{Address: addr, Timeout: hangGuard})
	DeferCleanup(client.Close)
	return client
}

var _ = Describe("platform over HTTP", func() {
	var (
		server *standin.Platform
		client *platform.Store
		ctx    context.Context
	)
	BeforeEach(func() {
		server = standin.NewPlatform(discardLog, testConfig)
		client = newClient(start(server))
		ctx = contextWithHangGuard()
	})

	It("guards against a write condition that is not transmitted, and a conflict without the current object", func() {
		first, err := client.Do(ctx, objectapi.Create("claim", "3/7", []byte("a")))
		Expect(err).NotTo(HaveOccurred())
		reply, err := client.Do(ctx, objectapi.Create("claim", "3/7", []byte("b")))
		Expect(err).To(MatchError(objectapi.ErrConflict))
		Expect(reply.Object).To(Equal(first.Object))
		second, err := client.Do(ctx, objectapi.Update("claim", "3/7", first.Object.Version, []byte("b")))
		Expect(err).NotTo(HaveOccurred())
		reply, err = client.Do(ctx, objectapi.Update("claim", "3/7", first.Object.Version, []byte("c")))
		Expect(err).To(MatchError(objectapi.ErrConflict))
		Expect(reply.Object).To(Equal(second.Object))
		_, err = client.Do(ctx, objectapi.Request{
			Op: objectapi.OpDelete, Kind: "claim", Name: "3/7", Condition: objectapi.Condition{IfVersion: first.Object.Version},
		})
		Expect(err).To(MatchError(objectapi.ErrConflict))
	})

	It("guards against object names that URL escaping alters", func() {
		for _, name := range []string{"a/b", "a//b", "../x", "%2F", "ü ?&=#", "a b"} {
			_, err := client.Do(ctx, objectapi.Create("claim", name, []byte(name)))
			Expect(err).NotTo(HaveOccurred())
			reply, err := client.Do(ctx, objectapi.Get("claim", name))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Object.Name).To(Equal(name))
		}
		Expect(server.Stats().Objects).To(Equal(6))
	})

	It("guards against a paged list that omits or repeats an object", func() {
		for i := range 25 {
			_, err := client.Do(ctx, objectapi.Create("claim", fmt.Sprintf("x%02d", i), nil))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := client.Do(ctx, objectapi.Create("claim", "y", nil))
		Expect(err).NotTo(HaveOccurred())
		var names []string
		request := objectapi.Request{Op: objectapi.OpList, Kind: "claim", Name: "x", Limit: 10}
		for {
			reply, err := client.Do(ctx, request)
			Expect(err).NotTo(HaveOccurred())
			for _, object := range reply.Objects {
				names = append(names, object.Name)
			}
			if reply.Next == "" {
				break
			}
			request.After = reply.Next
		}
		Expect(names).To(HaveLen(25))
		Expect(names[24]).To(Equal("x24"))
	})

	It("guards against a watch that misses a change or does not report compaction", func() {
		reply, err := client.Do(ctx, objectapi.Create("config", "current", []byte("1")))
		Expect(err).NotTo(HaveOccurred())
		from := reply.Version
		events := make(chan objectapi.Reply, 1)
		go func() {
			defer GinkgoRecover()
			reply, err := client.Do(ctx, objectapi.Request{Op: objectapi.OpWatch, Kind: "config", From: objectapi.Position{Version: from}, Wait: hangGuard})
			Expect(err).NotTo(HaveOccurred())
			events <- reply
		}()
		Eventually(func() int { return server.Stats().WaitingWatches }, hangGuard).Should(Equal(1))
		_, err = client.Do(ctx, objectapi.Create("lease", "quota", nil))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Do(ctx, objectapi.Request{Op: objectapi.OpDelete, Kind: "config", Name: "current"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(events, hangGuard).Should(Receive(&reply))
		Expect(reply.Events).To(HaveLen(1))
		Expect(reply.Events[0].Deleted).To(BeTrue())
		server.Compact()
		_, err = client.Do(ctx, objectapi.Request{Op: objectapi.OpWatch, Kind: "config", From: objectapi.Position{Version: from}})
		Expect(err).To(MatchError(objectapi.ErrCompacted))
	})

	It("guards against a put that is retried, or reported as not executed, after its reply was lost", func() {
		server.Faults.Add(standin.Fault{Kind: standin.FaultLostReply, Op: "put", Count: 1})
		_, err := client.Do(ctx, objectapi.Create("config", "current", []byte("1")))
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
		Expect(server.Stats().Puts).To(Equal(int64(1)))
		reply, err := client.Do(ctx, objectapi.Get("config", "current"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Object.Value).To(Equal([]byte("1")))
	})

	It("guards against a late write that is never executed, or is executed without checking its condition", func() {
		first, err := client.Do(ctx, objectapi.Create("lease", "quota", []byte("1")))
		Expect(err).NotTo(HaveOccurred())
		server.Faults.Add(standin.Fault{Kind: standin.FaultLateWrite, Op: "put", Count: 2, Delay: 20 * time.Millisecond})
		for _, value := range []string{"2", "3"} {
			_, err = client.Do(ctx, objectapi.Update("lease", "quota", first.Object.Version, []byte(value)))
			Expect(err).To(MatchError(objectapi.ErrUnavailable))
		}
		Eventually(func() int64 { return server.Stats().Conflicts }, hangGuard).Should(Equal(int64(1)))
		reply, err := client.Do(ctx, objectapi.Get("lease", "quota"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.Object.Value)).To(Or(Equal("2"), Equal("3")))
	})

	It("guards against a page that contains names without the prefix", func() {
		smallPages := testConfig
		smallPages.PageObjects = 2
		client := newClient(start(standin.NewPlatform(discardLog, smallPages)))
		for _, name := range []string{"2/9", "3", "3!", "3/1", "3/2", "3/3", "30", "4/1"} {
			_, err := client.Do(ctx, objectapi.Create("claim", name, nil))
			Expect(err).NotTo(HaveOccurred())
		}
		var names []string
		request := objectapi.Request{Op: objectapi.OpList, Kind: "claim", Name: "3/"}
		for more := true; more; more = request.After != "" {
			reply, err := client.Do(ctx, request)
			Expect(err).NotTo(HaveOccurred())
			for _, object := range reply.Objects {
				names = append(names, object.Name)
			}
			request.After = reply.Next
		}
		Expect(names).To(Equal([]string{"3/1", "3/2", "3/3"}))
		page, err := client.Do(ctx, objectapi.Request{Op: objectapi.OpList, Kind: "claim", Name: "3/", Limit: 1})
		Expect(err).NotTo(HaveOccurred())
		// The client drops names without the prefix from a page, so a page may be empty although more follow.
		for page.Objects == nil {
			page, err = client.Do(ctx, objectapi.Request{Op: objectapi.OpList, Kind: "claim", Name: "3/", After: page.Next, Limit: 1})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(page.Objects[0].Name).To(Equal("3/1"))
	})

	It("guards against a refusal not reported as ErrThrottled with its delay, or an outage not reported as ErrUnavailable", func() {
		server.Faults.Add(standin.Fault{Kind: standin.FaultRefuse, Count: 1, RetryAfter: 3 * time.Second})
		_, err := client.Do(ctx, objectapi.Create("lease", "quota", nil))
		var throttled *objectapi.ThrottledError
		Expect(err).To(MatchError(objectapi.ErrThrottled))
		Expect(asError(err, &throttled)).To(BeTrue())
		Expect(throttled.RetryAfter).To(Equal(3 * time.Second))
		server.Faults.Add(standin.Fault{Kind: standin.FaultOutage, Count: 1})
		_, err = client.Do(ctx, objectapi.Get("lease", "quota"))
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
		_, err = client.Do(ctx, objectapi.Get("lease", "quota"))
		Expect(err).To(MatchError(objectapi.ErrNotFound))
		Expect(server.Close()).To(Succeed())
		_, err = client.Do(ctx, objectapi.Get("lease", "quota"))
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
	})

	It("guards against a silenced connection that blocks later calls or that the server closes", func() {
		received := make(chan standin.Call, 10)
		server.Faults.Add(standin.Fault{Kind: standin.FaultSilence, Op: "get", Match: reportCalls(received)})
		callCtx, cancel := context.WithCancel(ctx)
		failed := make(chan error, 1)
		go func() {
			_, err := client.Do(callCtx, objectapi.Get("lease", "quota"))
			failed <- err
		}()
		Eventually(received, hangGuard).Should(Receive())
		_, err := client.Do(ctx, objectapi.Create("lease", "quota", nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(failed).NotTo(Receive())
		cancel()
		// If the server had closed the connection, the call would have failed with another cause.
		Eventually(failed, hangGuard).Should(Receive(And(
			MatchError(objectapi.ErrUnavailable), MatchError(context.Canceled))))
	})
})

var _ = Describe("silenced connections", func() {
	It("guards against SilenceOpenConnections affecting new connections, or closing the open ones", func() {
		server := standin.NewPlatform(discardLog, testConfig)
		client := newClient(start(server))
		ctx, cancel := context.WithCancel(contextWithHangGuard())
		failed := make(chan error, 1)
		go func() {
			_, err := client.Do(ctx, objectapi.Request{Op: objectapi.OpWatch, Kind: "config", Wait: hangGuard})
			failed <- err
		}()
		Eventually(func() int { return server.Stats().WaitingWatches }, hangGuard).Should(Equal(1))
		Expect(server.SilenceOpenConnections()).To(Equal(1))
		other := newClient(server.Addr())
		_, err := other.Do(contextWithHangGuard(), objectapi.Create("config", "current", nil))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return server.Stats().WaitingWatches }, hangGuard).Should(BeZero())
		Expect(failed).NotTo(Receive())
		cancel()
		// If the server had closed the connection, the call would have failed with another cause.
		Eventually(failed, hangGuard).Should(Receive(And(
			MatchError(objectapi.ErrUnavailable), MatchError(context.Canceled))))
	})
})

// Guards against a rate limit that is not enforced, that reads and writes share, or (for writes) that time does not restore.
func TestPlatformRates(t *testing.T) {
	g := NewWithT(t)
	clock := standin.NewManualClock(time.Unix(1000, 0))
	store := standin.NewPlatform(discardLog, standin.PlatformConfig{Clock: clock, ReadsPerSecond: 10, WritesPerSecond: 1})
	call := func(request objectapi.Request) error {
		_, err := store.Do(t.Context(), request)
		return err
	}
	g.Expect(call(objectapi.Create("lease", "quota", nil))).To(Succeed())
	g.Expect(call(objectapi.Create("lease", "capacity", nil))).To(MatchError(objectapi.ErrThrottled))
	for range 9 {
		g.Expect(call(objectapi.Get("lease", "quota"))).To(Succeed())
	}
	// Guards against a watch that the rate limit does not count: it is the tenth read.
	g.Expect(call(objectapi.Request{Op: objectapi.OpWatch, Kind: "lease"})).To(Succeed())
	g.Expect(call(objectapi.Get("lease", "quota"))).To(MatchError(objectapi.ErrThrottled))
	clock.Advance(time.Second)
	g.Expect(call(objectapi.Create("lease", "capacity", nil))).To(Succeed())
}

// Guards against a watch without events that returns before or after its Wait.
func TestPlatformWatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := standin.NewPlatform(discardLog, testConfig)
		startedAt := time.Now()
		reply, err := store.Do(t.Context(), objectapi.Request{Op: objectapi.OpWatch, Kind: "config", Wait: 30 * time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Events).To(BeEmpty())
		g.Expect(time.Since(startedAt)).To(Equal(30 * time.Second))
	})
}

// Guards against changes that are never discarded, one of the latest History changes that is discarded, and a watch from
// a future version that is accepted.
func TestPlatformHistory(t *testing.T) {
	g := NewWithT(t)
	store := standin.NewPlatform(discardLog, standin.PlatformConfig{History: 10, WritesPerSecond: 100})
	for range 21 {
		_, err := store.Do(t.Context(), objectapi.Request{Op: objectapi.OpPut, Kind: "k", Name: "a"})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := store.Do(t.Context(), objectapi.Request{Op: objectapi.OpWatch, Kind: "k", From: objectapi.Position{Version: 10}})
	g.Expect(err).To(MatchError(objectapi.ErrCompacted))
	reply, err := store.Do(t.Context(), objectapi.Request{Op: objectapi.OpWatch, Kind: "k", From: objectapi.Position{Version: 11}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Events).To(HaveLen(10))
	_, err = store.Do(t.Context(), objectapi.Request{Op: objectapi.OpWatch, Kind: "k", From: objectapi.Position{Version: 22}})
	g.Expect(err).To(MatchError(objectapi.ErrCompacted))
}

// Guards against a store that accepts or refuses a request contrary to its condition or to whether the object exists, and
// a watch whose events, applied in order, do not yield the model's state.
func TestPlatformModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := standin.NewPlatform(discardLog, testConfig)
		model := map[string]objectapi.Version{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
			ifVersion := objectapi.Version(rapid.IntRange(1, 20).Draw(rt, "ifVersion"))
			request := rapid.SampledFrom([]objectapi.Request{
				objectapi.Create("k", name, []byte("v")),
				objectapi.Update("k", name, ifVersion, []byte("w")),
				{Op: objectapi.OpDelete, Kind: "k", Name: name},
			}).Draw(rt, "request")
			checkRequest(rt, store, model, request)
		}
		checkWatch(rt, store, model)
	})
}

func checkRequest(rt *rapid.T, store objectapi.Store, model map[string]objectapi.Version, request objectapi.Request) {
	current, exists := model[request.Name]
	wantAccepted := exists
	if request.Op == objectapi.OpPut {
		wantAccepted = request.Condition.IfAbsent && !exists || exists && request.Condition.IfVersion == current
	}
	reply, err := store.Do(context.Background(), request)
	if wantAccepted != (err == nil) {
		rt.Fatalf("request %v, current version %d (0: absent): error %v, want success: %v", request, current, err, wantAccepted)
	}
	switch {
	case err != nil:
	case request.Op == objectapi.OpDelete:
		delete(model, request.Name)
	default:
		model[request.Name] = reply.Object.Version
	}
}

func checkWatch(rt *rapid.T, store objectapi.Store, model map[string]objectapi.Version) {
	reply, err := store.Do(context.Background(), objectapi.Request{Op: objectapi.OpWatch, Kind: "k"})
	if err != nil {
		rt.Fatal(err)
	}
	seen := map[string]objectapi.Version{}
	for _, event := range reply.Events {
		seen[event.Object.Name] = event.Object.Version
		if event.Deleted {
			delete(seen, event.Object.Name)
		}
	}
	if fmt.Sprint(seen) != fmt.Sprint(model) {
		rt.Fatalf("watch shows %v, want %v", seen, model)
	}
}
