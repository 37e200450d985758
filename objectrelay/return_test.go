package objectrelay

import (
	"context"
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
)

var _ = Describe("After a return of the store from an older copy", func() {
	read := func(c *Copy, op objectapi.Op, from objectapi.Position) (objectapi.Reply, error) {
		return c.Do(context.Background(), objectapi.Request{Op: op, From: from})
	}
	newCopy := func(position objectapi.Position) *Copy {
		c := NewCopy(CopyConfig{Kind: objectapi.KindDeployment, MaxAge: time.Hour, Now: time.Now}, discardSink{})
		c.Replace([]objectapi.Object{{Name: "main", Version: position.Version}}, position)
		c.Confirm(0)
		return c
	}
	former, restored := objectapi.Position{Era: 3, Version: 60}, objectapi.Position{Era: 4, Version: 58}

	// Guards against a change that a reader misses because the copy has passed the reader's version in the new history.
	It("a copy lets a reader of the former era list again", func() {
		c := newCopy(restored)
		c.Apply([]objectapi.WatchEvent{{Object: objectapi.Object{Name: "main", Version: 60}}}, objectapi.Position{Era: 4, Version: 61})
		_, err := read(c, objectapi.OpWatch, former)
		Expect(err).To(MatchError(objectapi.ErrCompacted))
		reply, err := read(c, objectapi.OpList, objectapi.Position{Era: former.Era})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Position()).To(Equal(objectapi.Position{Era: 4, Version: 61}))
		Expect(read(c, objectapi.OpWatch, objectapi.Position{Era: 4, Version: 59})).To(HaveField("Events", HaveLen(1)))
	})

	// Guards against a relay that is behind and brings a former history back.
	It("a copy of the former era does not answer a reader of the new one", func() {
		c := newCopy(former)
		for _, op := range []objectapi.Op{objectapi.OpList, objectapi.OpWatch} {
			_, err := read(c, op, restored)
			Expect(err).To(MatchError(objectapi.ErrUnavailable))
			Expect(read(c, op, former)).To(HaveField("Era", former.Era))
		}
	})

	// Guards against the answer of a relay that does not check the era, for example one of an earlier release.
	It("a reader takes no answer of the former era, and reads the store", func() {
		reads := 0
		source := NewSource(slog.New(slog.DiscardHandler), SourceConfig{Now: time.Now, Backoff: time.Hour}, newCopy(restored),
			func(context.Context, string, objectapi.Request) (objectapi.Reply, error) {
				reads++
				return objectapi.Reply{Era: former.Era, Version: former.Version}, nil
			}, func() Route { return Route{Relays: []string{"relay"}} })
		reply, err := source.Do(context.Background(), objectapi.Request{Op: objectapi.OpList, From: objectapi.Position{Era: restored.Era}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Position()).To(Equal(restored))
		Expect(reads).To(Equal(1))
	})

	// Guards against reads of the store by all readers because each has ended its own read of the relay.
	It("a read that the reader has ended is no failure of the relay", func() {
		ctx, cancel := context.WithCancel(context.Background())
		reads := 0
		source := NewSource(slog.New(slog.DiscardHandler), SourceConfig{Now: time.Now, Backoff: time.Hour}, newCopy(restored),
			func(context.Context, string, objectapi.Request) (objectapi.Reply, error) {
				if reads++; reads == 1 {
					cancel()
					return objectapi.Reply{}, errors.Join(objectapi.ErrUnavailable, ctx.Err())
				}
				return objectapi.Reply{Era: restored.Era, Version: 70}, nil
			}, func() Route { return Route{Relays: []string{"relay"}} })
		_, err := source.Do(ctx, objectapi.Request{Op: objectapi.OpWatch, From: restored})
		Expect(err).To(MatchError(context.Canceled))
		Expect(source.Do(context.Background(), objectapi.Request{Op: objectapi.OpList})).To(HaveField("Version", objectapi.Version(70)))
	})
})
