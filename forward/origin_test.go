package forward

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
	"knapweedhoist/streamorigin"
)

// unansweredOrigins is an Origins that waits for other instances, which do not answer.
type unansweredOrigins struct {
	Origins
	deadline chan time.Time
}

func (o unansweredOrigins) Find(ctx context.Context, _, _ string) (streamorigin.Origin, error) {
	deadline, _ := ctx.Deadline()
	o.deadline <- deadline
	<-ctx.Done()
	return streamorigin.Origin{}, ctx.Err()
}

var _ = Describe("findOrigin", func() {
	newExchange := func(origins Origins, remaining time.Duration) *exchange {
		e := &exchange{
			server: &Server{deps: Deps{Origins: origins}}, route: &deployment.Route{Kind: deployment.Stream},
			service: &deployment.Service{Name: "service"}, request: Request{ID: "taken", Continues: true, Resumes: "begun"},
			deadline: time.Now().Add(remaining),
		}
		e.context, e.cancel = context.WithCancel(context.Background())
		DeferCleanup(e.cancel)
		return e
	}

	// Guards against take-ups that stay for callers that have left, and that count as refused.
	It("ends when the caller leaves", func() {
		origins := unansweredOrigins{deadline: make(chan time.Time, 1)}
		e := newExchange(origins, time.Hour)
		e.cancel()
		Expect(e.findOrigin().cause).To(Equal(causeCallerClosed))
	})

	// Guards against a take-up that is answered only after its deadline.
	It("ends before the deadline, with a refusal", func() {
		origins := unansweredOrigins{deadline: make(chan time.Time, 1)}
		e := newExchange(origins, minAttemptTime)
		Expect(e.findOrigin().cause).To(Equal(causeOriginUnknown))
		Expect(<-origins.deadline).To(BeTemporally("<=", e.deadline))
	})

	// Guards against requests other than take-ups that wait for, or are refused because of, an origin.
	It("concerns only streams that go on", func() {
		e := newExchange(unansweredOrigins{deadline: make(chan time.Time, 1)}, time.Hour)
		e.request.Continues = false
		Expect(e.findOrigin()).To(BeNil())
		e.request.Continues, e.route.Kind = true, deployment.Safe
		Expect(e.findOrigin()).To(BeNil())
	})
})

var _ = Describe("callerDeadline", func() {
	// Guards against take-ups that are refused because the origin was forgotten at the route's timeout for the first request.
	It("covers the time in which the caller may take the stream up again", func() {
		now := time.Now()
		e := &exchange{begunAt: now, deadline: now.Add(time.Second), request: Request{Timeout: time.Minute}}
		Expect(e.callerDeadline()).To(Equal(now.Add(time.Minute)))
		e.request.Timeout = 0
		Expect(e.callerDeadline()).To(Equal(e.deadline))
	})
})
