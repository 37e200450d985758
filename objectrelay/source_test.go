package objectrelay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"knapweedhoist/clock"
	"knapweedhoist/objectapi"
)

// storeFunc implements objectapi.Store by a function.
type storeFunc func(objectapi.Request) (objectapi.Reply, error)

func (f storeFunc) Do(_ context.Context, request objectapi.Request) (objectapi.Reply, error) {
	return f(request)
}

var _ = Describe("Source", func() {
	var (
		now    time.Time
		route  Route
		asked  []string
		failed map[string]error
		waits  []time.Duration
		source *Source
	)
	BeforeEach(func() {
		now, asked, waits, failed = time.Unix(1000, 0), nil, nil, make(map[string]error)
		route = Route{Relays: []string{"r1", "r2"}}
		record := func(source string, request objectapi.Request) (objectapi.Reply, error) {
			asked, waits = append(asked, source), append(waits, request.Wait)
			return objectapi.Reply{Version: 1}, failed[source]
		}
		source = NewSource(slog.New(slog.DiscardHandler), SourceConfig{
			RelayWait: 500 * time.Millisecond, SharedWait: time.Second, Backoff: 3 * time.Second, Now: func() time.Time { return now },
		}, storeFunc(func(request objectapi.Request) (objectapi.Reply, error) { return record("store", request) }),
			func(_ context.Context, address string, request objectapi.Request) (objectapi.Reply, error) {
				return record(address, request)
			}, func() Route { return route })
	})
	read := func() error {
		_, err := source.Do(context.Background(), objectapi.Request{Op: objectapi.OpWatch, Wait: 2 * time.Second})
		return err
	}

	// Guards against instances that call the store for each change of an endpoint while their relay starts or is lost: 9 of
	// 295 instances made 950 of the 4,000 calls of a day.
	It("spaces the watches of the store while the relays do not answer", func() {
		failed["r1"], failed["r2"] = errors.New("reset"), errors.New("reset")
		source.cfg.SharedGap = 50 * time.Millisecond
		Expect(read()).To(Succeed())
		Expect(read()).To(Succeed())
		began := time.Now()
		Expect(read()).To(Succeed()) // now does not advance, so that the whole gap is left
		Expect(time.Since(began)).To(BeNumerically(">=", 50*time.Millisecond))
		Expect(asked).To(Equal([]string{"r1", "store", "r2", "store", "store"}))
	})

	// Guards against an instance that reads nothing while it alone has lost the store, and one that waits for the store's
	// timeout at each read.
	It("reads a substitute while the store does not answer, and asks the store again after the backoff", func() {
		route = Route{Substitutes: []string{"s1", "s2"}}
		failed["store"], failed["s1"] = objectapi.ErrUnavailable, errors.New("reset")
		Expect(read()).To(MatchError(objectapi.ErrUnavailable))
		Expect(read()).To(Succeed())
		Expect(read()).To(Succeed())
		Expect(asked).To(Equal([]string{"store", "s1", "store", "s2", "s2"}))
		now = now.Add(3 * time.Second)
		asked, failed["store"] = nil, nil
		Expect(read()).To(Succeed())
		Expect(asked).To(Equal([]string{"store"}))
	})

	// Guards against a loss of the watch because the first of the others has a copy that is too old, and against a log line for
	// each read when the order of the others changes.
	It("asks the next substitute after a refusal, and keeps to the one that answers", func() {
		route = Route{Substitutes: []string{"s1", "s2", "s3"}}
		failed["store"], failed["s1"] = objectapi.ErrUnavailable, objectapi.ErrUnavailable
		Expect(read()).To(Succeed())
		route = Route{Substitutes: []string{"s3", "s2"}}
		Expect(read()).To(Succeed())
		Expect(asked).To(Equal([]string{"store", "s1", "s2", "s2"}))
	})

	// Guards against an answer of the store, such as a compacted version, that is hidden by a substitute's.
	It("returns what the store answers without asking a substitute", func() {
		route = Route{Substitutes: []string{"s1"}}
		failed["store"] = objectapi.ErrCompacted
		Expect(read()).To(MatchError(objectapi.ErrCompacted))
		Expect(asked).To(Equal([]string{"store"}))
	})

	// Guards against a call to the store for each change of an endpoint: 18 relays made 430 calls a second at 295 instances.
	It("spaces the watches of the store while others read the copy", func() {
		route = Route{IsRelay: true}
		source.cfg.SharedGap = 50 * time.Millisecond
		Expect(read()).To(Succeed())
		began := time.Now()
		Expect(read()).To(Succeed()) // now does not advance, so that the whole gap is left
		Expect(time.Since(began)).To(BeNumerically(">=", 50*time.Millisecond))
		now = now.Add(time.Second)
		Expect(read()).To(Succeed())
		Expect(asked).To(Equal([]string{"store", "store", "store"}))
	})

	// Guards against an instance that gets no changes while the relay it reads from is down (fleetbench DRAIN).
	It("reads the store in the same call when a relay fails, and another relay next", func() {
		failed["r1"] = errors.New("timeout")
		Expect(read()).To(Succeed())
		Expect(read()).To(Succeed())
		Expect(asked).To(Equal([]string{"r1", "store", "r2"}))
		now = now.Add(4 * time.Second)
		Expect(read()).To(Succeed())
		Expect(asked[3]).To(Equal("r1"))
	})

	// Guards against a relay that counts as failed because the reader has fallen behind its history.
	It("returns the error of a relay that has compacted the version", func() {
		failed["r1"] = objectapi.ErrCompacted
		Expect(read()).To(MatchError(objectapi.ErrCompacted))
		Expect(asked).To(Equal([]string{"r1"}))
	})

	// Guards against a relay that refuses reads because its own watch of the store waits longer than MaxAge.
	It("uses shorter watches to bound the age of a copy that others read", func() {
		Expect(read()).To(Succeed())
		route = Route{IsRelay: true}
		Expect(read()).To(Succeed())
		route = Route{}
		Expect(read()).To(Succeed())
		Expect(waits).To(Equal([]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}))
	})
})

var _ = Describe("Client", func() {
	// Guards against fields that are lost in the encoding between two instances.
	It("reads a copy over HTTP", func() {
		objectCopy := NewCopy(CopyConfig{Kind: objectapi.KindEndpoint, MaxAge: time.Hour, Now: clock.Now}, discardSink{})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
			Serve(rc, map[objectapi.Kind]*Copy{objectapi.KindEndpoint: objectCopy})
		}}
		go func() { _ = server.Serve(ln) }()
		DeferCleanup(server.Shutdown)
		client := NewClient(10 * time.Second)
		read := func(request objectapi.Request) (objectapi.Reply, error) {
			return client.Read(context.Background(), ln.Addr().String(), request)
		}

		_, err = read(objectapi.Request{Op: objectapi.OpList, Kind: objectapi.KindEndpoint})
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
		a := objectapi.Object{Kind: objectapi.KindEndpoint, Name: "a", Version: 4, Value: []byte("value")}
		objectCopy.Replace([]objectapi.Object{a}, objectapi.Position{Era: 3, Version: 5})
		objectCopy.Apply([]objectapi.WatchEvent{{Deleted: true, Object: a}}, objectapi.Position{Era: 3, Version: 8})
		objectCopy.Confirm(time.Minute)
		list, err := read(objectapi.Request{Op: objectapi.OpList, Kind: objectapi.KindEndpoint})
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Position()).To(Equal(objectapi.Position{Era: 3, Version: 8}))
		Expect(list.Age).To(BeNumerically(">=", time.Minute))
		watch, err := read(objectapi.Request{Op: objectapi.OpWatch, Kind: objectapi.KindEndpoint, From: objectapi.Position{Era: 3, Version: 5}})
		Expect(err).NotTo(HaveOccurred())
		Expect(watch.Events).To(Equal([]objectapi.WatchEvent{{Deleted: true, Object: a}}))
		_, err = read(objectapi.Request{Op: objectapi.OpWatch, Kind: objectapi.KindEndpoint, From: objectapi.Position{Era: 3, Version: 2}})
		Expect(err).To(MatchError(objectapi.ErrCompacted))
		for _, op := range []objectapi.Op{objectapi.OpList, objectapi.OpWatch} {
			_, err = read(objectapi.Request{Op: op, Kind: objectapi.KindEndpoint, From: objectapi.Position{Era: 4, Version: 5}})
			Expect(err).To(MatchError(objectapi.ErrUnavailable))
		}
		_, err = read(objectapi.Request{Op: objectapi.OpList, Kind: objectapi.KindLease})
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
	})
})
