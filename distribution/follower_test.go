package distribution

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/catalog"
	"knapweedhoist/objectapi"
)

func hexOf(hash catalog.KeyHash) string { return hex.EncodeToString(hash[:]) }

// revisions returns the stored documents of revisions 1 to n.
func revisions(n int) []StoredDocument {
	document := catalog.Initial()
	var all []StoredDocument
	for i := range n {
		item := json.RawMessage(fmt.Sprintf(`{"name":"p%d"}`, i))
		next, err := document.WithChange(catalog.Change{Revision: document.Revision + 1, Kind: catalog.ItemPreset, Name: fmt.Sprintf("p%d", i), After: item})
		Expect(err).NotTo(HaveOccurred())
		value, err := next.Encode()
		Expect(err).NotTo(HaveOccurred())
		all = append(all, StoredDocument{Revision: next.Revision, Version: objectapi.Version(10 * next.Revision), Value: value})
		document = next
	}
	return all
}

var _ = Describe("the follower", func() {
	now := time.UnixMilli(1_800_000_000_000)
	follower := func() *Follower {
		return NewFollower(discardLog, FollowerConfig{Rand: rand.New(rand.NewSource(1))})
	}
	object := func(s StoredDocument) objectapi.Object {
		return objectapi.Object{Kind: objectapi.KindConfig, Name: ObjectName, Version: s.Version, Value: s.Value}
	}

	It("guards against a watcher that misses changes after a compaction", func() {
		all := revisions(3)
		watcher := follower()
		get := watcher.SetView(now, true, []string{"b", "c"}).Calls[0]
		out := watcher.Done(now, objectapi.CallResult{ID: get.ID, Reply: objectapi.Reply{Object: object(all[0]), Version: 15}})
		Expect(out.Applied.Revision()).To(Equal(uint64(1)))
		Expect(out.Calls[0].Request.From.Version).To(Equal(objectapi.Version(15)))
		out = watcher.Done(now, objectapi.CallResult{ID: out.Calls[0].ID, Err: objectapi.ErrCompacted})
		Expect(out.Calls[0].Request.Op).To(Equal(objectapi.OpGet))
		out = watcher.Done(now, objectapi.CallResult{ID: out.Calls[0].ID, Reply: objectapi.Reply{Object: object(all[2]), Version: 40}})
		Expect(out.Relays).To(HaveLen(2))
		Expect(out.Relays[0].Changes).To(HaveLen(2))

		behind := follower()
		behind.ApplyStored(now, all[0])
		Expect(behind.ApplyRelay(now, "a", out.Relays[0]).Applied.Revision()).To(Equal(uint64(3)))
		Expect(behind.ApplyRelay(now, "a", out.Relays[0]).Applied).To(BeNil())
		empty := follower()
		Expect(empty.ApplyRelay(now, "a", out.Relays[0]).Fetches).To(ConsistOf(Fetch{To: "a"}))
		stored, ok := behind.AnswerFetch(Fetch{})
		Expect(ok).To(BeTrue())
		Expect(empty.FetchDone(now, "a", stored, true).Applied.Revision()).To(Equal(uint64(3)))
	})

	It("guards against a fetch for each heartbeat that arrives before the relay of its revision", func() {
		all := revisions(2)
		f := follower()
		f.ApplyStored(now, all[0])
		Expect(f.Heartbeat(now, "b", 2).Fetches).To(BeEmpty())
		Expect(f.Heartbeat(now.Add(fetchDelay), "c", 2).Fetches).To(HaveLen(1))
		Expect(f.Heartbeat(now.Add(fetchDelay), "d", 2).Fetches).To(BeEmpty())
	})

	It("guards against an instance that, while the platform is unavailable, drops its configuration or does not report its last contact", func() {
		all := revisions(2)
		f := follower()
		get := f.Tick(now).Calls[0]
		f.Done(now, objectapi.CallResult{ID: get.ID, Reply: objectapi.Reply{Object: object(all[1])}})
		later := now.Add(time.Hour)
		get = f.Tick(later).Calls[0]
		f.Done(later, objectapi.CallResult{ID: get.ID, Err: objectapi.ErrUnavailable})
		Expect(f.Status()).To(And(HaveField("PlatformUnavailable", true), HaveField("LastContact", now), HaveField("Revision", uint64(2))))
		Expect(f.ApplyStored(later, all[0]).Applied).To(BeNil())
		Expect(f.Snapshot().Revision()).To(Equal(uint64(2)))
	})

	It("guards against a document with unknown fields, written by another version, that is applied in part", func() {
		f := follower()
		f.ApplyStored(now, StoredDocument{Value: []byte(`{"revision":1,"in_force":"a","presets":[{"name":"a"}],"new_field":1}`)})
		Expect(f.Snapshot()).To(BeNil())
		Expect(f.Status().Rejected).To(Equal(1))
	})
})
