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

// directTransport calls the host of a peer in a goroutine, as a session would.
type directTransport struct{ host *handover.Target }

func (t *directTransport) Send(_ string, call *wire.Call, report func(*wire.Answer, error)) {
	go func() {
		answer := t.host.Handle(time.Now(), incarnation, call)
		if report != nil {
			report(answer, nil)
		}
	}()
}

func (*directTransport) Announce(string) {}

const peerIncarnation = "01JYYYYYYYYYYYYYYYYYYYYYYY"

var _ = Describe("a handover between two instances", func() {
	It("guards against a gap or a repetition for a caller who re-attaches at the peer", func() {
		const tokens = 40
		first := &fakeEngine{tokens: tokens, gate: make(chan struct{})}
		second := &fakeEngine{tokens: tokens}
		home := newSite(first, gateway.Config{HeaderDelay: time.Millisecond}, noRemote{})
		peer := newSite(second, gateway.Config{}, noRemote{})
		host := handover.NewTarget(peerIncarnation, handover.TargetConfig{}, peer.registry, peer.runner, peer.checks)
		leaving := handover.NewSource(incarnation, home.registry, &directTransport{host: host}, home.checks)

		response, id := home.open()
		for range 10 {
			first.gate <- struct{}{}
		}
		now := time.Now()
		home.server.Drain()
		leaving.Depart(now, handover.Departure{
			ReleaseAt: now.Add(time.Second), EndAt: now.Add(time.Minute),
			Peers: []handover.Peer{{Incarnation: peerIncarnation}},
		})
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-leaving.Wake():
					leaving.Poll(now)
				case <-stop:
					return
				}
			}
		}()
		for range 10 {
			first.gate <- struct{}{}
		}
		// The events of the drain reach the caller once the peer has them.
		entry, found := home.registry.Lookup(id)
		Expect(found).To(BeTrue())
		Eventually(entry.Visible, hangGuard).Should(BeNumerically(">=", 19))
		close(stop)
		<-stopped
		leaving.Tick(now.Add(2 * time.Second))
		Eventually(leaving.Done, hangGuard).Should(BeTrue())

		before, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		ids, text, done := contents(string(before))
		Expect(done).To(BeFalse())
		again := newRequest("GET", "/v1/requests/"+id.String(), "key-a", "")
		again.Header.Set("Last-Event-ID", ids[len(ids)-1])
		_, after := peer.do(again)
		more, rest, done := contents(after)
		Expect(done).To(BeTrue())
		want := ""
		for i := range tokens {
			want += "t" + strconv.Itoa(i)
		}
		Expect(text + rest).To(Equal(want))
		Expect(append(ids, more...)).To(HaveLen(tokens + 1))

		home.runner.Wait()
		Expect(home.close()).To(Succeed())
		Expect(peer.close()).To(Succeed())
		Expect(home.checks.Counts()).To(BeEmpty())
		Expect(peer.checks.Counts()).To(BeEmpty())
	})
})

// unknownRemote cannot reach the home.
type unknownRemote struct{}

func (unknownRemote) Attach(context.Context, request.ID, string, uint64, func(request.Event) error) error {
	return errors.Join(request.ErrUnavailable, errors.New("session broken"))
}

var _ = Describe("a home that cannot be reached", func() {
	It("guards against an answer that hides that the request may run", func() {
		s := newSite(nil, gateway.Config{}, unknownRemote{})
		response, body := s.do(newRequest("GET", "/v1/requests/"+peerIncarnation+"-1", "key-a", ""))
		Expect(response.StatusCode).To(Equal(503))
		Expect(problemOf(response, body).Outcome).To(Equal("unknown"))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(s.close()).To(Succeed())
	})
})
