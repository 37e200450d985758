package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/gateway"
	"knapweedhoist/request"
)

// startStream starts a streamed completion and returns after its header with
// the request id has been received.
func (s *testInstance) startStream() (*http.Response, request.ID) {
	response, err := s.client.Do(newRequest("POST", "/v1/chat/completions", "key-a", `{`+prompt+`,"stream":true}`))
	Expect(err).NotTo(HaveOccurred())
	id, err := request.ParseID(response.Header.Get("X-Request-Id"))
	Expect(err).NotTo(HaveOccurred())
	return response, id
}

// delayedRemote returns err from Attach once unblock is closed.
type delayedRemote struct {
	err     error
	unblock chan struct{}
}

func (r delayedRemote) Attach(context.Context, request.ID, string, uint64, func(request.Event) error) error {
	<-r.unblock
	return r.err
}

// finishedRemote holds one finished request with two events.
type finishedRemote struct{}

func (finishedRemote) Attach(_ context.Context, _ request.ID, _ string, after uint64, yield func(request.Event) error) error {
	finish := &request.Finish{Outcome: request.OutcomeRan, FinishReason: "stop"}
	for _, event := range []request.Event{{ID: 1, Token: []byte("t0")}, {ID: 2, Finish: finish}} {
		if event.ID > after {
			if err := yield(event); err != nil {
				return err
			}
		}
	}
	if after >= 2 {
		return request.ErrMoved // as for a stream from another instance that ends without the finish
	}
	return nil
}

var _ = Describe("streams during drain, move and failure", func() {
	var (
		s     *testInstance
		gated *fakeEngine
	)

	BeforeEach(func() {
		gated = &fakeEngine{tokens: 3, gate: make(chan struct{})}
		s = newTestInstance(gated, gateway.Config{HeaderDelay: time.Millisecond}, noRemote{})
	})

	AfterEach(func() {
		s.runner.Wait()
		Expect(s.checks.Counts()).To(BeEmpty())
	})

	It("guards against a shutdown that aborts a request in progress", func() {
		response, _ := s.startStream()
		s.server.Drain()
		ready, _ := s.do(newRequest("GET", "/readyz", "", ""))
		Expect(ready.StatusCode).To(Equal(http.StatusServiceUnavailable))
		alive, _ := s.do(newRequest("GET", "/healthz", "", ""))
		Expect(alive.StatusCode).To(Equal(http.StatusOK))
		refused, body := s.do(newRequest("POST", "/v1/chat/completions", "key-a", `{`+prompt+`}`))
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).To(Equal("1"))
		Expect(parseProblem(refused, body).Outcome).To(Equal("not_run"))

		closed := make(chan error, 1)
		go func() { closed <- s.close() }()
		close(gated.gate)
		rest, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		_, text, done := parseStream(string(rest))
		Expect(text).To(Equal("t0t1t2"))
		Expect(done).To(BeTrue())
		Expect(<-closed).To(Succeed())
	})

	It("guards against a moved request whose stream ends like a complete one, or whose non-streamed answer is not a redirect", func() {
		response, id := s.startStream()
		whole := make(chan *http.Response, 1)
		client := *s.client
		client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		go func() {
			defer GinkgoRecover()
			answer, err := client.Do(newRequest("GET", "/v1/requests/"+id.String(), "key-a", ""))
			Expect(err).NotTo(HaveOccurred())
			whole <- answer
		}()
		entry, _ := s.registry.Lookup(id)
		Eventually(entry.ReaderCount, hangGuard).Should(Equal(2))
		Expect(entry.Move()).To(Succeed())
		rest, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		_, _, done := parseStream(string(rest))
		Expect(done).To(BeFalse())
		Expect(string(rest)).To(ContainSubstring("re-attach"))
		answer := <-whole
		Expect(answer.StatusCode).To(Equal(http.StatusSeeOther))
		Expect(answer.Header.Get("Location")).To(Equal("/v1/requests/" + id.String()))
		Expect(answer.Body.Close()).To(Succeed())
		Expect(s.close()).To(Succeed())
	})

	It("guards against a rejection without the step and Retry-After of the decision", func() {
		s.policy.decision = gateway.Decision{Step: "quota", OverTeamLimit: true, Detail: "over the limit", RetryAfter: 1500 * time.Millisecond}
		response, body := s.do(newRequest("POST", "/v1/chat/completions", "key-a", `{`+prompt+`}`))
		Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		Expect(parseProblem(response, body)).To(Equal(problemDocument{Status: 429, Outcome: "not_run", Step: "quota"}))
		Expect(s.close()).To(Succeed())
	})

	It("guards against a caller that re-attaches after the last event and receives no [DONE]", func() {
		close(gated.gate)
		response, id := s.startStream()
		_, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		after := func(position string) (*http.Response, string) {
			request := newRequest("GET", "/v1/requests/"+id.String(), "key-a", "")
			request.Header.Set("Last-Event-ID", position)
			return s.do(request)
		}
		ended, body := after("4")
		Expect(ended.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("data: [DONE]\n\n"))
		beyond, body := after("5")
		Expect(beyond.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(parseProblem(beyond, body).Step).To(Equal("attach"))
		Expect(s.close()).To(Succeed())
	})

	It("guards against a caller that re-attaches at another instance after the last event and is asked to re-attach without end", func() {
		other := newTestInstance(gated, gateway.Config{HeaderDelay: hangGuard}, finishedRemote{})
		for position, expected := range map[string]string{"0": "id: 1\n", "1": "id: 2\n", "2": "data: [DONE]\n\n"} {
			request := newRequest("GET", "/v1/requests/01J00000000000000000000000-1", "key-a", "")
			request.Header.Set("Last-Event-ID", position)
			response, body := other.do(request)
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(HavePrefix(expected))
			Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
		}
		close(gated.gate)
		Expect(other.close()).To(Succeed())
		Expect(s.close()).To(Succeed())
	})

	It("guards against a caller that re-attaches after a failure and receives no problem document", func() {
		response, id := s.startStream()
		entry, _ := s.registry.Lookup(id)
		Expect(entry.Finish(time.Now(), request.Finish{Outcome: request.OutcomeUnknown, Status: 502, Step: "test"})).To(Succeed())
		_, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		again := newRequest("GET", "/v1/requests/"+id.String(), "key-a", "")
		again.Header.Set("Last-Event-ID", "1")
		ended, body := s.do(again)
		Expect(ended.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(parseProblem(ended, body).Outcome).To(Equal("unknown"))
		close(gated.gate)
		Expect(s.close()).To(Succeed())
	})

	DescribeTable("guards against a caller that re-attaches without end to a request that no longer exists, or stops although it may still exist",
		func(failure error, expected string) {
			remote := delayedRemote{err: failure, unblock: make(chan struct{})}
			other := newTestInstance(gated, gateway.Config{HeaderDelay: time.Millisecond}, remote)
			request := newRequest("GET", "/v1/requests/01J00000000000000000000000-1", "key-a", "")
			request.Header.Set("Last-Event-ID", "7")
			response, err := other.client.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK), "the header is sent before Attach returns")
			close(remote.unblock)
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(ContainSubstring(expected))
			Expect(string(body)).NotTo(ContainSubstring("[DONE]"))
			close(gated.gate)
			Expect(other.close()).To(Succeed())
			Expect(s.close()).To(Succeed())
		},
		Entry("unknown", request.ErrNotFound, "event: error\ndata: {\"type\":\"about:blank\",\"title\":\"Not Found\",\"status\":404"),
		Entry("moved", request.ErrMoved, "re-attach with Last-Event-ID"),
		Entry("unreachable", request.ErrUnavailable, "re-attach with Last-Event-ID"),
	)

	It("guards against a failure after the first event that ends the stream like a success", func() {
		response, id := s.startStream()
		entry, _ := s.registry.Lookup(id)
		gated.gate <- struct{}{}
		reader := bufio.NewReader(response.Body)
		for line := ""; !strings.HasPrefix(line, "id: 1"); {
			var err error
			line, err = reader.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(entry.Finish(time.Now(), request.Finish{Outcome: request.OutcomeUnknown, Status: 502, Step: "test"})).To(Succeed())
		rest, err := io.ReadAll(reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(ContainSubstring("event: error\nid: 2\n"))
		Expect(string(rest)).To(ContainSubstring(`"outcome":"unknown"`))
		Expect(string(rest)).NotTo(ContainSubstring("[DONE]"))
		close(gated.gate)
		Expect(s.close()).To(Succeed())
	})
})

var _ = Describe("a caller that does not read", func() {
	It("guards against a stream that stays open, and against a request that blocks on its caller", func() {
		// More than the socket buffers hold, so that the write blocks until its timeout.
		s := newTestInstance(burstEngine{tokens: 200_000}, gateway.Config{WriteTimeout: 100 * time.Millisecond}, noRemote{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.server.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write(streamedRequest)
		Expect(err).NotTo(HaveOccurred())

		var entry *request.Entry
		Eventually(func() bool {
			var found bool
			entry, found = s.registry.Lookup(request.ID{Incarnation: incarnation, Sequence: 1})
			return found
		}, hangGuard).Should(BeTrue())
		Eventually(entry.State, hangGuard).Should(Equal(request.StateFinished))
		Expect(entry.Result().Outcome).To(Equal(request.OutcomeRan))
		Eventually(entry.ReaderCount, hangGuard).Should(BeZero())
		again := newRequest("GET", "/v1/requests/"+entry.Spec().ID.String(), "key-a", "")
		again.Header.Set("Last-Event-ID", "199990")
		_, body := s.do(again)
		ids, _, done := parseStream(body)
		Expect(ids).To(HaveLen(11))
		Expect(done).To(BeTrue())
		Expect(s.close()).To(Succeed())
	})
})

// remoteRegistry attaches to a registry and converts each event to its wire
// message and back, as the peer protocol does.
type remoteRegistry struct{ registry *request.Registry }

func (r *remoteRegistry) Attach(
	ctx context.Context, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	return r.registry.Attach(ctx, id, team, after, func(event request.Event) error {
		return yield(request.EventFromMessage(event.Message()))
	})
}

var _ = Describe("re-attaching at another instance", func() {
	It("guards against events that are lost or repeated between the instances", func() {
		remote := &remoteRegistry{}
		home := newTestInstance(&fakeEngine{tokens: 200}, gateway.Config{}, noRemote{})
		remote.registry = home.registry
		other := newTestInstance(nil, gateway.Config{}, remote)
		response, _ := home.do(newRequest("POST", "/v1/chat/completions", "key-a", `{`+prompt+`}`))
		path := "/v1/requests/" + response.Header.Get("X-Request-Id")

		streamed := newRequest("GET", path, "key-a", "")
		streamed.Header.Set("Last-Event-ID", "150")
		_, body := other.do(streamed)
		ids, _, done := parseStream(body)
		Expect(ids).To(HaveLen(51))
		Expect(ids[0]).To(Equal("151"))
		Expect(done).To(BeTrue())

		_, whole := other.do(newRequest("GET", path, "key-a", ""))
		Expect(whole).To(ContainSubstring(`t199"`))
		Expect(whole).To(ContainSubstring(`"completion_tokens":200`))
		otherTeam, _ := other.do(newRequest("GET", path, "key-b", ""))
		Expect(otherTeam.StatusCode).To(Equal(http.StatusNotFound))
		Expect(home.close()).To(Succeed())
		Expect(other.close()).To(Succeed())
	})
})
