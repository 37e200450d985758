package backend

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/catalog"
	"knapweedhoist/request"
)

// fakeClaimer grants claims like a single shard. While down it grants none.
type fakeClaimer struct {
	mu      sync.Mutex
	down    bool
	holders map[string]Claim
	ends    []ClaimEnd
}

func (c *fakeClaimer) Claim(_ context.Context, claim Claim) (Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return Verdict{}, ErrClaimUnavailable
	}
	for _, end := range c.ends {
		if end.Claim.Key == claim.Key && !end.Released {
			return Verdict{Kind: VerdictDone, Holder: end.Claim.RequestID}, nil
		}
	}
	holder, held := c.holders[claim.Key]
	switch {
	case !held:
		if c.holders == nil {
			c.holders = make(map[string]Claim)
		}
		c.holders[claim.Key] = claim
		return Verdict{Kind: VerdictGranted, Holder: claim.RequestID}, nil
	case holder.BodyHash != claim.BodyHash:
		return Verdict{Kind: VerdictMismatch, Holder: holder.RequestID}, nil
	default:
		return Verdict{Kind: VerdictInProgress, Holder: holder.RequestID}, nil
	}
}

func (c *fakeClaimer) Finish(end ClaimEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, end)
	if end.Released {
		delete(c.holders, end.Claim.Key)
	}
}

// fakeCaller answers after a delay, or fails.
type fakeCaller struct {
	mu    sync.Mutex
	calls int
	err   error
	delay time.Duration
}

func (c *fakeCaller) Call(context.Context, string, Outgoing) (Answer, error) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	time.Sleep(c.delay)
	return Answer{Status: 201, Body: []byte("paid")}, c.err
}

func (b *bench) keyed() request.Spec {
	spec := b.spec(catalog.KindPlain)
	spec.Key, spec.NeedsClaim = "k", true
	return spec
}

// Guards against a call that runs twice for one key: the second caller gets
// the answer of the first, in progress and afterwards.
func TestSecondCallerGetsTheFirstAnswer(t *testing.T) {
	caller := &fakeCaller{delay: second}
	simulate(t, &fakePolicy{address: "x"}, caller, func(b *bench) {
		first, same := b.start(b.keyed()), b.start(b.keyed())
		for _, entry := range []*request.Entry{first, same} {
			_, finish := answer(entry)
			Expect(string(finish.Body)).To(Equal("paid"))
			Expect(finish.Status).To(Equal(201))
		}
		_, later := answer(b.start(b.keyed()))
		Expect(string(later.Body)).To(Equal("paid"))
		Expect(caller.calls).To(Equal(1))
		Expect(b.claimer.ends).To(HaveLen(1))

		other := b.keyed()
		other.BodyHash[0] = 1
		b.claimer.ends = nil
		_, mismatch := answer(b.start(other))
		Expect(mismatch.Status).To(Equal(422))
		Expect(mismatch.Outcome).To(Equal(request.OutcomeNotRun))
	})
}

// Guards against a call that is sent without a claim, and a claim that stays
// although nothing was sent.
func TestNothingIsSentWithoutClaim(t *testing.T) {
	caller := &fakeCaller{}
	simulate(t, &fakePolicy{address: "x"}, caller, func(b *bench) {
		b.claimer.down = true
		_, finish := answer(b.start(b.keyed()))
		Expect(finish.Outcome).To(Equal(request.OutcomeNotRun))
		Expect(finish.RetryAfter).To(BeNumerically(">", 0))
		b.runner.Wait()
		Expect(caller.calls).To(BeZero())
		Expect(b.claimer.ends[0].Released).To(BeTrue())
	})
}

// Guards against a repetition of a call that may have run, and against a claim
// that is released although the outcome is unknown.
func TestCallsAreRepeatedOnlyWhenAllowed(t *testing.T) {
	for name, c := range map[string]struct {
		err        error
		idempotent bool
		calls      int
		outcome    request.Outcome
		released   int
	}{
		"broken":            {ErrBroken, false, 1, request.OutcomeUnknown, 0},
		"refused":           {ErrRefused, false, 1, request.OutcomeNotRun, 1},
		"broken idempotent": {ErrBroken, true, 3, request.OutcomeUnknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			caller := &fakeCaller{err: c.err, delay: 25 * second}
			simulate(t, &fakePolicy{address: "x"}, caller, func(b *bench) {
				spec := b.keyed()
				spec.Idempotent, spec.NeedsClaim = c.idempotent, !c.idempotent
				_, finish := answer(b.start(spec))
				b.runner.Wait()
				Expect(caller.calls).To(Equal(c.calls))
				Expect(finish.Outcome).To(Equal(c.outcome))
				Expect(b.claimer.ends).To(HaveLen(c.released))
			})
		})
	}
}

// Guards against a call that a dial failure ends, although nothing was sent.
func TestUnsentCallTriesAgain(t *testing.T) {
	caller := &fakeCaller{err: ErrUnsent, delay: 25 * second}
	simulate(t, &fakePolicy{address: "x"}, caller, func(b *bench) {
		_, finish := answer(b.start(b.spec(catalog.KindPlain)))
		b.runner.Wait()
		Expect(caller.calls).To(Equal(3))
		Expect(finish.Outcome).To(Equal(request.OutcomeUnknown))
	})
}
