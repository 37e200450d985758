package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
	"knapweedhoist/standin"
)

// Guards against a stand-in whose returns keep a change, a version or the era, so that it hides faults of its clients.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := standin.NewPlatform(discardLog, testConfig)
		do := func(request objectapi.Request) objectapi.Reply {
			reply, err := p.Do(t.Context(), request)
			g.Expect(err).NotTo(HaveOccurred())
			return reply
		}
		kept := do(objectapi.Create("lease", "kept", []byte("1"))).Object
		deleted := do(objectapi.Create("lease", "deleted", []byte("2"))).Object
		time.Sleep(2 * time.Second)
		lost := do(objectapi.Update("lease", "kept", kept.Version, []byte("3")))
		do(objectapi.Request{Op: objectapi.OpDelete, Kind: "lease", Name: "deleted"})
		do(objectapi.Create("lease", "created", nil))
		go func() {
			time.Sleep(time.Second)
			p.Restore(2 * time.Second)
		}()
		reply, err := p.Do(t.Context(), objectapi.Request{Op: objectapi.OpWatch, Kind: "lease", From: objectapi.Position{Version: lost.Version + 2}, Wait: time.Minute})
		g.Expect(err).To(MatchError(objectapi.ErrCompacted))
		g.Expect(reply.Era).To(Equal(objectapi.Era(1)))

		g.Expect(do(objectapi.Get("lease", "kept"))).To(Equal(objectapi.Reply{Object: kept, Version: deleted.Version, Era: 1}))
		g.Expect(do(objectapi.Get("lease", "deleted")).Object).To(Equal(deleted))
		reply, err = p.Do(t.Context(), objectapi.Get("lease", "created"))
		g.Expect(err).To(MatchError(objectapi.ErrNotFound))
		g.Expect(reply.Era).To(Equal(objectapi.Era(1)))
		g.Expect(do(objectapi.Create("lease", "other", nil)).Version).To(Equal(lost.Version))
		events := do(objectapi.Request{Op: objectapi.OpWatch, Kind: "lease", From: objectapi.Position{Version: kept.Version}}).Events
		g.Expect(events).To(HaveLen(2))
		g.Expect(events[1].Object.Name).To(Equal("other"))
	})
}
