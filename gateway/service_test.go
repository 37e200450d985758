package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/gateway"
)

var _ = Describe("plain services", func() {
	var (
		s        *testInstance
		endpoint *httptest.Server
		calls    atomic.Int64
	)

	BeforeEach(func() {
		calls.Store(0)
		endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			if r.URL.Path == "/cut" {
				panic(http.ErrAbortHandler)
			}
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Seen", r.Method+" "+r.RequestURI+" ["+r.Header.Get("Authorization")+r.Header.Get("X-Hop")+"]")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write(body)
		}))
		s = newTestInstance(nil, gateway.Config{}, noRemote{})
		s.policy.engine = nil
		s.policy.address = endpoint.Listener.Addr().String()
	})

	AfterEach(func() {
		Expect(s.close()).To(Succeed())
		s.runner.Wait()
		endpoint.Close()
		Expect(s.checks.Counts()).To(BeEmpty())
	})

	It("guards against a call that is altered on its way, and against forwarding the credential to the endpoint", func() {
		request := newRequest("POST", "/services/booking/a%20b/c?d=e", "key-a", "body")
		request.Header.Set("X-Hop", "hop")
		request.Header.Set("Connection", "x-hop")
		response, body := s.do(request)
		Expect(response.StatusCode).To(Equal(http.StatusCreated))
		Expect(body).To(Equal("body"))
		Expect(response.Header.Get("X-Seen")).To(Equal("POST /a%20b/c?d=e []"))
		Expect(response.Header.Get("X-Request-Id")).To(HavePrefix(incarnation))

		again, text := s.do(newRequest("GET", "/v1/requests/"+response.Header.Get("X-Request-Id"), "key-a", ""))
		Expect(again.StatusCode).To(Equal(http.StatusCreated))
		Expect(text).To(Equal("body"))
	})

	It("guards against an outcome not_run for a call that may have run", func() {
		response, body := s.do(newRequest("POST", "/services/booking/cut", "key-a", ""))
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		document := parseProblem(response, body)
		Expect(document.Outcome).To(Equal("unknown"))
		Expect(document.RequestID).To(Equal(response.Header.Get("X-Request-Id")))
		Expect(calls.Load()).To(Equal(int64(1)))
	})
})
