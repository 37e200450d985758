package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/gateway"
)

// problemDocument holds the fields of a problem document that the tests compare.
type problemDocument struct {
	Status    int    `json:"status"`
	Outcome   string `json:"outcome"`
	Step      string `json:"step"`
	RequestID string `json:"request_id"`
}

func parseProblem(response *http.Response, body string) problemDocument {
	ExpectWithOffset(1, response.Header.Get("Content-Type")).To(Equal("application/problem+json"))
	var document problemDocument
	ExpectWithOffset(1, json.Unmarshal([]byte(body), &document)).To(Succeed())
	ExpectWithOffset(1, document.Status).To(Equal(response.StatusCode))
	return document
}

// sendRaw writes the parts on a new connection and returns the response.
func (s *testInstance) sendRaw(parts ...string) (*http.Response, string) {
	conn, err := s.listener.Dial()
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for _, part := range parts {
		_, _ = conn.Write([]byte(part))
	}
	return readAnswer(conn)
}

func readAnswer(conn net.Conn) (*http.Response, string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

const requestHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-a\r\n"

var _ = Describe("bad input", func() {
	var s *testInstance

	BeforeEach(func() {
		s = newTestInstance(&fakeEngine{tokens: 2}, gateway.Config{MaxBodyBytes: 4096}, noRemote{})
	})

	AfterEach(func() {
		response, _ := s.do(newRequest("POST", "/v1/chat/completions", "key-a", `{`+prompt+`}`))
		Expect(response.StatusCode).To(Equal(http.StatusOK), "a valid request still succeeds")
		Expect(s.close()).To(Succeed())
		s.runner.Wait()
		inProgress, finished, _ := s.registry.Counts()
		Expect([]int{inProgress, finished}).To(Equal([]int{0, 1}), "no registry entry of the rejected request remains")
		Expect(s.checks.Counts()).To(BeEmpty())
	})

	DescribeTable("guards against a rejection with a wrong status, outcome or step",
		func(method, path, key, body string, status int, step string) {
			response, text := s.do(newRequest(method, path, key, body))
			document := parseProblem(response, text)
			Expect(response.StatusCode).To(Equal(status))
			Expect(document.Outcome).To(Equal("not_run"))
			Expect(document.Step).To(Equal(step))
		},
		Entry("wrong credential", "POST", "/v1/chat/completions", "wrong", `{`+prompt+`}`, 401, "authenticate"),
		Entry("large body with a wrong credential", "POST", "/v1/chat/completions", "wrong", strings.Repeat("x", 5000), 401, "authenticate"),
		Entry("oversized body", "POST", "/v1/chat/completions", "key-a", strings.Repeat("x", 5000), 413, "read"),
		Entry("body above the service's limit", "POST", "/services/booking/x", "key-a", strings.Repeat("x", 3000), 413, "read"),
		Entry("malformed JSON", "POST", "/v1/chat/completions", "key-a", `{"model":`, 400, "parse"),
		Entry("no messages", "POST", "/v1/chat/completions", "key-a", `{"model":"m","messages":[]}`, 400, "parse"),
		Entry("more than one choice", "POST", "/v1/chat/completions", "key-a", `{`+prompt+`,"n":2}`, 400, "parse"),
		Entry("unknown model", "POST", "/v1/chat/completions", "key-a", strings.Replace(`{`+prompt+`}`, `"m"`, `"x"`, 1), 404, "route"),
		Entry("unknown service", "GET", "/services/none/x", "key-a", "", 404, "route"),
		Entry("model service called as plain", "GET", "/services/pool/x", "key-a", "", 404, "route"),
		Entry("service of another team", "GET", "/services/booking/x", "key-b", "", 403, "authorise"),
		Entry("unknown path", "GET", "/v2", "key-a", "", 404, "route"),
		Entry("wrong method", "GET", "/v1/chat/completions", "key-a", "", 405, "route"),
	)

	DescribeTable("guards against invalid header values that are accepted",
		func(name, value string) {
			request := newRequest("POST", "/services/booking/x", "key-a", "")
			request.Header.Set(name, value)
			response, text := s.do(request)
			Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
			Expect(parseProblem(response, text).Outcome).To(Equal("not_run"))
		},
		Entry("deadline that is not a number", "X-Deadline-Ms", "soon"),
		Entry("deadline in the past", "X-Deadline-Ms", "-1"),
		Entry("deadline above the maximum", "X-Deadline-Ms", "9999999999"),
		Entry("key without its closing quote", "Idempotency-Key", `"abc`),
		Entry("empty key", "Idempotency-Key", `""`),
		Entry("key above 255 characters", "Idempotency-Key", strings.Repeat("k", 256)),
	)

	It("guards against accepting too many header fields or a header above the size limit", func() {
		many := requestHead
		for i := range 200 {
			many += fmt.Sprintf("X-%d: 1\r\n", i)
		}
		response, body := s.sendRaw(many, "Content-Length: 0\r\n\r\n")
		Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(parseProblem(response, body).Step).To(Equal("read"))
		response, body = s.sendRaw(requestHead, "X-Large: ", strings.Repeat("x", 20000), "\r\n\r\n")
		Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(parseProblem(response, body).Outcome).To(Equal("not_run"))
	})

	DescribeTable("guards against a chunked body that is rejected with a misleading reason",
		func(key string, status int, step, detail string) {
			response, body := s.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\n",
				"Transfer-Encoding: chunked\r\n\r\n1388\r\n", strings.Repeat("x", 5000), "\r\n0\r\n\r\n")
			Expect(response.StatusCode).To(Equal(status))
			document := parseProblem(response, body)
			Expect(document.Step).To(Equal(step))
			Expect(document.Outcome).To(Equal("not_run"))
			Expect(body).To(ContainSubstring(detail))
		},
		Entry("with a valid credential", "key-a", http.StatusRequestEntityTooLarge, "read", "the body is too large"),
		Entry("with a wrong credential", "wrong", http.StatusUnauthorized, "authenticate", "bearer key"),
	)

	It("guards against a process that ends for lack of memory because of many large bodies at once", func() {
		const size = 100 << 10
		full := newTestInstance(&fakeEngine{tokens: 2}, gateway.Config{MaxBodyMemory: 256 << 10}, noRemote{})
		head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", requestHead, size)
		content := `{` + prompt + `}` + strings.Repeat(" ", size)
		first, err := full.listener.Dial()
		Expect(err).NotTo(HaveOccurred())
		defer first.Close()
		_, err = first.Write([]byte(head + content[:size/2]))
		Expect(err).NotTo(HaveOccurred())
		second, err := full.listener.Dial()
		Expect(err).NotTo(HaveOccurred())
		defer second.Close()
		var response *http.Response
		var body string
		send := func() int {
			_, err := second.Write([]byte(head + content[:size]))
			Expect(err).NotTo(HaveOccurred())
			response, body = readAnswer(second)
			return response.StatusCode
		}
		Eventually(send, hangGuard).Should(Equal(http.StatusServiceUnavailable), "once the first body has its memory")
		Expect(parseProblem(response, body).Outcome).To(Equal("not_run"))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())

		_, err = first.Write([]byte(content[size/2 : size]))
		Expect(err).NotTo(HaveOccurred())
		response, _ = readAnswer(first)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(send()).To(Equal(http.StatusOK), "the memory is free again, and the connection usable")
		Expect(full.close()).To(Succeed())
	})

	It("guards against a truncated body that is handled as a complete one", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.server.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte(requestHead + "Content-Length: 100\r\n\r\n{\"mod"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		response, body := readAnswer(conn)
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(parseProblem(response, body).Outcome).To(Equal("not_run"))
	})

	It("guards against a slow caller that holds a connection with an incomplete request", func() {
		// The caller sends nothing more, so that the result does not depend on the length of the timeout.
		slow := newTestInstance(&fakeEngine{tokens: 2}, gateway.Config{ReadTimeout: 100 * time.Millisecond}, noRemote{})
		response, body := slow.sendRaw(requestHead, "Content-Length: 100\r\n\r\n", "{")
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(parseProblem(response, body).Outcome).To(Equal("not_run"))
		response, body = slow.sendRaw("POST /v1/chat")
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(parseProblem(response, body).Outcome).To(Equal("not_run"))
		Expect(slow.close()).To(Succeed())
	})

	It("guards against bytes that are not HTTP and are answered without a problem document", func() {
		response, body := s.sendRaw("\x16\x03\x01 nonsense\r\n\r\n")
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(parseProblem(response, body).Outcome).To(Equal("not_run"))
	})

	It("guards against a wrong status or outcome for an invalid or unknown request id, or an invalid position, when re-attaching", func() {
		response, body := s.do(newRequest("GET", "/v1/requests/nonsense", "key-a", ""))
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(parseProblem(response, body).Outcome).To(Equal("unknown"))
		response, body = s.do(newRequest("GET", "/v1/requests/"+incarnation+"-77", "key-a", ""))
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		Expect(parseProblem(response, body).Outcome).To(Equal("unknown"))
		request := newRequest("GET", "/v1/requests/"+incarnation+"-77", "key-a", "")
		request.Header.Set("Last-Event-ID", "1x")
		response, _ = s.do(request)
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	})
})
