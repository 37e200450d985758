package forward

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/enginemodel"
	"knapweedhoist/quarantine"
	"knapweedhoist/retrybudget"
)

var _ = Describe("The retry budget", func() {
	// Guards against a budget that is used up by repeats that are refused because the endpoints are at their rate limits.
	It("gets back a retry that was not sent because of a rate limit", func() {
		service := &deployment.Service{Name: "service"}
		balancer := dispatch.NewBalancer(dispatch.Config{}, enginemodel.NewLearner())
		endpoint := &deployment.Endpoint{ID: "limited", Service: service.Name, Slots: 8}
		state := deployment.NewState()
		state.SetEndpoints(map[string]*deployment.Endpoint{endpoint.ID: endpoint})
		first, err := balancer.Choose(time.Now(), dispatch.Query{
			Service: service, Endpoints: state.View().Endpoints, Remaining: time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		first.RecordRateLimit(time.Now(), endpointlimit.Statement{Kind: endpointlimit.Named})
		// An endpoint with a limit of 0 takes one request in some 10 s, at a time of day that may be within the second of this one.
		process := quarantine.ProcessKey(endpoint.ID, endpoint.StartedAtMs)
		balancer.Limits().Take(time.Now(), process)
		Expect(balancer.Limits().Wait(time.Now(), process)).To(BeNumerically(">", 2*time.Second))
		budget := retrybudget.NewBudget(clock.Now(), retrybudget.Config{Slack: 2, Window: time.Minute})
		e := &exchange{
			server: &Server{deps: Deps{
				Balancer: balancer, Budget: budget, State: state, Quarantine: quarantine.NewGuard(quarantine.Config{}), Now: clock.Now,
			}},
			service: service, route: &deployment.Route{MaxAttempts: 3}, tried: make(map[string]bool), sends: 1,
			deadline: time.Now().Add(time.Second),
		}
		Expect(e.allowRetry(&failure{cause: causeNotRun})).To(BeTrue())
		Expect(budget.Take(clock.Now(), service.Name)).To(BeFalse())
		_, failed := e.attempt()
		var limited *dispatch.RateLimitedError
		Expect(failed.err).To(BeAssignableToTypeOf(limited))
		Expect(e.allowRetry(failed)).To(BeFalse())
		Expect(budget.Take(clock.Now(), service.Name)).To(BeTrue())
	})
})
