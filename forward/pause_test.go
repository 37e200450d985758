package forward

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
)

var _ = Describe("takeoverAfter", func() {
	after := func(route deployment.Route, lastEventID string) time.Duration {
		return (&exchange{route: &route, lastEventID: lastEventID}).takeoverAfter()
	}

	// Guards against a stream that is requested elsewhere although it cannot continue there.
	It("is zero for a stream that cannot be continued", func() {
		Expect(after(deployment.Route{PauseObjective: 300 * time.Millisecond}, "3")).To(BeZero())
		Expect(after(deployment.Route{Resumable: true, PauseObjective: 300 * time.Millisecond}, "")).To(BeZero())
		Expect(after(deployment.Route{Resumable: true}, "3")).To(BeZero())
	})

	// Guards against a resumable stream that is given up by its caller although another endpoint could continue it.
	It("moves a resumable stream before the caller abandons it", func() {
		route := deployment.Route{Resumable: true, PauseObjective: 300 * time.Millisecond}
		Expect(after(route, "3")).To(Equal(900 * time.Millisecond))
	})
})

var _ = Describe("takeover", func() {
	// Guards against a silent stream that is aborted by the timer of an attempt that has just failed.
	It("does not win after its attempt has failed", func() {
		s, t := &eventStream{}, &takeover{}
		s.giveUp(t)
		Expect(s.win(t)).To(BeFalse())
		Expect(t.state).To(Equal(takeoverFailed))
	})
})
