package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/gateway"
)

const prompt = `"model":"m","messages":[{"role":"user","content":"hello"}]`

func newRequest(method, path, key, body string) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://site"+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+key)
	return request
}

func (s *testInstance) do(request *http.Request) (*http.Response, string) {
	response, err := s.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

// parseStream returns the event ids and the text of a streamed answer, and
// whether it ended with [DONE].
func parseStream(body string) (ids []string, text string, done bool) {
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, id)
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return ids, text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		Expect(json.Unmarshal([]byte(data), &chunk)).To(Succeed())
		if len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return ids, text, false
}

var _ = Describe("completions", func() {
	var s *testInstance

	AfterEach(func() {
		Expect(s.close()).To(Succeed())
		s.runner.Wait()
		Expect(s.checks.Counts()).To(BeEmpty())
		Expect(s.policy.admitted.Load()).To(BeZero())
	})

	It("guards against a streamed answer with missing events or without [DONE]", func() {
		s = newTestInstance(&fakeEngine{tokens: 5}, gateway.Config{}, noRemote{})
		response, body := s.do(newRequest("POST", "/v1/chat/completions", "key-a", `{`+prompt+`,"stream":true}`))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(response.Header.Get("X-Request-Id")).To(HavePrefix(incarnation + "-"))
		ids, text, done := parseStream(body)
		Expect(ids).To(Equal([]string{"1", "2", "3", "4", "5", "6"}))
		Expect(text).To(Equal("t0t1t2t3t4"))
		Expect(done).To(BeTrue())
	})

	It("guards against a non-streamed answer without its full text or usage", func() {
		s = newTestInstance(&fakeEngine{tokens: 3}, gateway.Config{}, noRemote{})
		response, body := s.do(newRequest("POST", "/v1/chat/completions", "key-a", `{`+prompt+`}`))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`"content":"t0t1t2"`))
		Expect(body).To(ContainSubstring(`"usage":{"prompt_tokens":3,"completion_tokens":3,"total_tokens":6}`))
	})

	It("guards against a request that is cancelled when its caller disconnects, and against another team attaching to it", func() {
		gated := &fakeEngine{tokens: 4, gate: make(chan struct{})}
		s = newTestInstance(gated, gateway.Config{}, noRemote{})
		response, err := s.client.Do(newRequest("POST", "/v1/chat/completions", "key-a", `{`+prompt+`,"stream":true}`))
		Expect(err).NotTo(HaveOccurred())
		id := response.Header.Get("X-Request-Id")
		gated.gate <- struct{}{}
		reader := bufio.NewReader(response.Body)
		for line := ""; !strings.HasPrefix(line, "id: 1"); {
			line, err = reader.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(response.Body.Close()).To(Succeed())
		close(gated.gate)

		again := newRequest("GET", "/v1/requests/"+id, "key-a", "")
		again.Header.Set("Last-Event-ID", "1")
		_, body := s.do(again)
		ids, text, done := parseStream(body)
		Expect(ids).To(Equal([]string{"2", "3", "4", "5"}))
		Expect(text).To(Equal("t1t2t3"))
		Expect(done).To(BeTrue())

		other, _ := s.do(newRequest("GET", "/v1/requests/"+id, "key-b", ""))
		Expect(other.StatusCode).To(Equal(http.StatusNotFound))
	})
})
