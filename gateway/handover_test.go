package gateway_test

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/gateway"
	"knapweedhoist/handover"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// directTransport calls the target in a new goroutine, as a peer session would.
type directTransport struct{ target *handover.Target }

func (t *directTransport) Send(_ string, call *wire.Call, report func(*wire.Answer, error)) {
	go func() {
		answer := t.target.Handle(time.Now(), incarnation, call)
		if report != nil {
			report(answer, nil)
		}
	}()
}

func (*directTransport) Announce(string) {}

const peerIncarnation = "01JYYYYYYYYYYYYYYYYYYYYYYY"

var _ = Describe("a handover between two instances", func() {
	It("guards against missing or repeated events for a caller that re-attaches at the peer", func() {
		const tokens = 40
		sourceEngine := &fakeEngine{tokens: tokens, gate: make(chan struct{})}
		targetEngine := &fakeEngine{tokens: tokens}
		source := newTestInstance(sourceEngine, gateway.Config{HeaderDelay: time.Millisecond}, noRemote{})
		target := newTestInstance(targetEngine, gateway.Config{}, noRemote{})
		handoverTarget := handover.NewTarget(peerIncarnation, handover.TargetConfig{}, target.registry, target.runner, target.checks)
		handoverSource := handover.NewSource(incarnation, source.registry, &directTransport{target: handoverTarget}, source.checks)

		response, id := source.startStream()
		for range 10 {
			sourceEngine.gate <- struct{}{}
		}
		now := time.Now()
		source.server.Drain()
		handoverSource.Depart(now, handover.Departure{
			ReleaseAt: now.Add(time.Second), EndAt: now.Add(time.Minute),
			Peers: []handover.Peer{{Incarnation: peerIncarnation}},
		})
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-handoverSource.Wake():
					handoverSource.Poll(now)
				case <-stop:
					return
				}
			}
		}()
		for range 10 {
			sourceEngine.gate <- struct{}{}
		}
		// Events sent during the drain become visible to the caller once the target has them.
		entry, found := source.registry.Lookup(id)
		Expect(found).To(BeTrue())
		Eventually(entry.Visible, hangGuard).Should(BeNumerically(">=", 19))
		close(stop)
		<-stopped
		handoverSource.Tick(now.Add(2 * time.Second))
		Eventually(handoverSource.Done, hangGuard).Should(BeTrue())

		before, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		ids, text, done := parseStream(string(before))
		Expect(done).To(BeFalse())
		again := newRequest("GET", "/v1/requests/"+id.String(), "key-a", "")
		again.Header.Set("Last-Event-ID", ids[len(ids)-1])
		_, after := target.do(again)
		more, rest, done := parseStream(after)
		Expect(done).To(BeTrue())
		want := ""
		for i := range tokens {
			want += "t" + strconv.Itoa(i)
		}
		Expect(text + rest).To(Equal(want))
		Expect(append(ids, more...)).To(HaveLen(tokens + 1))

		source.runner.Wait()
		Expect(source.close()).To(Succeed())
		Expect(target.close()).To(Succeed())
		Expect(source.checks.Counts()).To(BeEmpty())
		Expect(target.checks.Counts()).To(BeEmpty())
	})
})

// unreachableRemote fails as if the session to the home instance were broken.
type unreachableRemote struct{}

func (unreachableRemote) Attach(context.Context, request.ID, string, uint64, func(request.Event) error) error {
	return errors.Join(request.ErrUnavailable, errors.New("session broken"))
}

var _ = Describe("re-attaching while the home instance is unreachable", func() {
	It("guards against an outcome other than unknown for a request that may be running", func() {
		s := newTestInstance(nil, gateway.Config{}, unreachableRemote{})
		response, body := s.do(newRequest("GET", "/v1/requests/"+peerIncarnation+"-1", "key-a", ""))
		Expect(response.StatusCode).To(Equal(503))
		Expect(parseProblem(response, body).Outcome).To(Equal("unknown"))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(s.close()).To(Succeed())
	})
})
