package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
	"knapweedhoist/enginemodel"
)

// Guards against requests to an endpoint that may be gone while another can serve them, and against requests that fail
// although only such endpoints are left.
var _ = DescribeTable("An unconfirmed endpoint",
	func(running int, change func(*Query), want string) {
		now := time.Unix(1000, 0)
		balancer := NewBalancer(Config{}, enginemodel.NewLearner())
		confirmed, unconfirmed := plainEndpoint("confirmed", 1), plainEndpoint("unconfirmed", 1)
		for range running {
			_, err := balancer.Choose(now, plainQuery(confirmed))
			Expect(err).NotTo(HaveOccurred())
		}
		unconfirmed.Unconfirmed = true
		query := plainQuery(confirmed, unconfirmed)
		change(&query)
		flight, err := balancer.Choose(now, query)
		Expect(err).NotTo(HaveOccurred())
		Expect(flight.Endpoint.ID).To(Equal(want))
	},
	Entry("gets no request while the other has a free slot", 7, func(*Query) {}, "confirmed"),
	Entry("gets requests once the other is full", 8, func(*Query) {}, "unconfirmed"),
	Entry("gets a request that the other was tried for", 0, func(q *Query) { q.Tried = map[string]bool{"confirmed": true} }, "unconfirmed"),
	Entry("gets requests if the other leaves", 0, func(q *Query) {
		q.Endpoints["confirmed"] = &deployment.Endpoint{ID: "confirmed", Service: "plain", Slots: 8, Leaving: true}
	}, "unconfirmed"),
	Entry("gets requests if it is the only one", 0, func(q *Query) { delete(q.Endpoints, "confirmed") }, "unconfirmed"),
)
