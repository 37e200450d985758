package standin_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/standin"
)

func post(ctx context.Context, addr, path, key, body string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(standin.HeaderIdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

var _ = Describe("plain service over HTTP", func() {
	It("guards against an executed call that is not recorded because its answer was lost", func() {
		server := standin.NewService(discardLog, standin.ServiceConfig{})
		addr := start(server)
		ctx := contextWithHangGuard()
		server.Faults.Add(standin.Fault{Kind: standin.FaultLostReply, Op: "POST", Count: 1})
		_, err := post(ctx, addr, "/deposits", "k1", "hall 7")
		Expect(err).To(HaveOccurred())
		Expect(post(ctx, addr, "/deposits", "k1", "hall 7")).To(Equal(http.StatusCreated))
		Expect(server.ExecutionsByKey()).To(Equal(map[string]int{"k1": 2}))
		Expect(server.ExecutionsByBody()).To(Equal(map[string]int{"hall 7": 2}))
		response, err := http.Get("http://" + addr + "/halls/7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(server.Executions()).To(HaveLen(2))
	})

	It("guards against a refused call that is recorded as executed", func() {
		server := standin.NewService(discardLog, standin.ServiceConfig{})
		addr := start(server)
		ctx := contextWithHangGuard()
		server.Faults.Add(standin.Fault{Kind: standin.FaultRefuse, Count: 1, RetryAfter: time.Second})
		Expect(post(ctx, addr, "/dispatches", "k1", "a")).To(Equal(http.StatusTooManyRequests))
		server.Faults.Add(standin.Fault{Kind: standin.FaultOutage, Count: 1})
		Expect(post(ctx, addr, "/dispatches", "k1", "a")).To(Equal(http.StatusServiceUnavailable))
		server.Leave(hangGuard)
		Expect(post(ctx, addr, "/dispatches", "k1", "a")).To(Equal(http.StatusServiceUnavailable))
		Expect(server.LateArrivals(0)).To(Equal(1))
		Expect(server.LateArrivals(hangGuard)).To(BeZero())
		Expect(server.Executions()).To(BeEmpty())
	})

	It("guards against FaultSilence closing the connection or executing the call", func() {
		server := standin.NewService(discardLog, standin.ServiceConfig{})
		addr := start(server)
		received := make(chan standin.Call, 10)
		server.Faults.Add(standin.Fault{Kind: standin.FaultSilence, Count: 1, Match: reportCalls(received)})
		callCtx, cancel := context.WithCancel(contextWithHangGuard())
		ended := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			_, err := post(callCtx, addr, "/deposits", "k1", "a")
			ended <- err
		}()
		Eventually(received, hangGuard).Should(Receive())
		Expect(post(contextWithHangGuard(), addr, "/deposits", "k2", "b")).To(Equal(http.StatusCreated))
		cancel()
		Eventually(ended, hangGuard).Should(Receive(MatchError(context.Canceled)))
		Expect(server.ExecutionsByKey()).To(Equal(map[string]int{"k2": 1}))
	})
})

// Guards against a second execution of a key on a service that deduplicates, also
// while the first one is in progress.
func TestServiceDeduplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := standin.NewService(discardLog, standin.ServiceConfig{Deduplicates: true, ServiceTime: time.Second})
		answers := make(chan string, 3)
		for range 3 {
			go func() {
				answer, _ := service.Do(t.Context(), standin.ServiceCall{Method: "POST", Path: "/deposits", Key: "k"})
				answers <- string(answer.Body)
			}()
		}
		first := <-answers
		g.Expect(first).To(ContainSubstring(`"execution":1`))
		g.Expect([]string{<-answers, <-answers}).To(Equal([]string{first, first}))
		g.Expect(service.ExecutionsByKey()).To(Equal(map[string]int{"k": 1}))
		g.Expect(service.Close()).To(Succeed())
	})
}

// Guards against a service that exceeds its workers or queue, a load report
// without LoadLag, and a call that is executed after Close.
func TestServiceLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := standin.NewService(discardLog, standin.ServiceConfig{Workers: 1, Queue: 1, ServiceTime: time.Minute})
		call := standin.ServiceCall{Method: "POST", Path: "/dispatches"}
		ended := make(chan error, 2)
		for range 2 {
			go func() { _, err := service.Do(t.Context(), call); ended <- err }()
			synctest.Wait()
		}
		answer, err := service.Do(t.Context(), call)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Status).To(Equal(http.StatusTooManyRequests))
		g.Expect(service.Load().Running).To(BeZero())
		time.Sleep(time.Second)
		g.Expect(service.Load().Running).To(Equal(1))
		g.Expect(service.Load().Queued).To(Equal(1))
		g.Expect(service.Close()).To(Succeed())
		for range 2 {
			g.Expect(errors.Is(<-ended, standin.ErrNoAnswer)).To(BeTrue())
		}
		_, err = service.Do(t.Context(), call)
		g.Expect(err).To(MatchError(standin.ErrNoAnswer))
		g.Expect(service.Executions()).To(HaveLen(1))
	})
}
