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

// fakeClaimer grants claims like a single shard of the claim log. While down it returns ErrClaimUnavailable.
type fakeClaimer struct {
	mu      sync.Mutex
	down    bool
	holders map[string]Claim
	results []ClaimResult
}

func (c *fakeClaimer) Claim(_ context.Context, claim Claim) (Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return Verdict{}, ErrClaimUnavailable
	}
	for _, result := range c.results {
		if result.Claim.Key == claim.Key && !result.Released {
			return Verdict{Kind: VerdictDone, Holder: result.Claim.RequestID}, nil
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
	case holder.CallHash != claim.CallHash:
		return Verdict{Kind: VerdictMismatch, Holder: holder.RequestID}, nil
	default:
		return Verdict{Kind: VerdictInProgress, Holder: holder.RequestID}, nil
	}
}

func (c *fakeClaimer) Finish(result ClaimResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
	if result.Released {
		delete(c.holders, result.Claim.Key)
	}
}

// fakeCaller answers each call with status 201 and err after delay.
type fakeCaller struct {
	mu    sync.Mutex
	calls int
	err   error
	delay time.Duration
}

func (c *fakeCaller) Call(context.Context, string, OutgoingCall) (Answer, error) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	time.Sleep(c.delay)
	return Answer{Status: 201, Body: []byte("paid")}, c.err
}

func (f *fixture) keyedSpec() request.Spec {
	spec := f.spec(catalog.KindPlain)
	spec.Key, spec.NeedsClaim = "k", true
	return spec
}

// Guards against a call that runs twice for one key: while the first call is in progress and after it has finished,
// another request with the key must get its answer. The same key with another body must be rejected.
func TestSecondCallerGetsTheFirstAnswer(t *testing.T) {
	caller := &fakeCaller{delay: second}
	simulate(t, &fakePolicy{address: "x"}, caller, func(f *fixture) {
		first, same := f.start(f.keyedSpec()), f.start(f.keyedSpec())
		for _, entry := range []*request.Entry{first, same} {
			_, finish := awaitAnswer(entry)
			Expect(string(finish.Body)).To(Equal("paid"))
			Expect(finish.Status).To(Equal(201))
		}
		_, later := awaitAnswer(f.start(f.keyedSpec()))
		Expect(string(later.Body)).To(Equal("paid"))
		f.runner.Wait() // the claim's end is reported after the answer
		Expect(caller.calls).To(Equal(1))
		Expect(f.claimer.results).To(HaveLen(1))

		other := f.keyedSpec()
		other.CallHash[0] = 1
		f.claimer.results = nil
		_, mismatch := awaitAnswer(f.start(other))
		Expect(mismatch.Status).To(Equal(422))
		Expect(mismatch.Outcome).To(Equal(request.OutcomeNotRun))
	})
}

// Guards against a call that is sent without a claim, and against a claim that is not released although nothing was
// sent.
func TestNothingIsSentWithoutClaim(t *testing.T) {
	caller := &fakeCaller{}
	simulate(t, &fakePolicy{address: "x"}, caller, func(f *fixture) {
		f.claimer.down = true
		_, finish := awaitAnswer(f.start(f.keyedSpec()))
		Expect(finish.Outcome).To(Equal(request.OutcomeNotRun))
		Expect(finish.RetryAfter).To(BeNumerically(">", 0))
		f.runner.Wait()
		Expect(caller.calls).To(BeZero())
		Expect(f.claimer.results[0].Released).To(BeTrue())
	})
}

// Guards against the repetition of a call that is not idempotent and may have run, and against the release of a claim
// whose outcome is unknown.
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
			simulate(t, &fakePolicy{address: "x"}, caller, func(f *fixture) {
				spec := f.keyedSpec()
				spec.Idempotent, spec.NeedsClaim = c.idempotent, !c.idempotent
				_, finish := awaitAnswer(f.start(spec))
				f.runner.Wait()
				Expect(caller.calls).To(Equal(c.calls))
				Expect(finish.Outcome).To(Equal(c.outcome))
				Expect(f.claimer.results).To(HaveLen(c.released))
			})
		})
	}
}

// Guards against a failed call after a dial error: nothing was sent, so the call must be retried until its deadline. The
// outcome is unknown because the third call is still in progress at the deadline.
func TestUnsentCallTriesAgain(t *testing.T) {
	caller := &fakeCaller{err: ErrUnsent, delay: 25 * second}
	simulate(t, &fakePolicy{address: "x"}, caller, func(f *fixture) {
		_, finish := awaitAnswer(f.start(f.spec(catalog.KindPlain)))
		f.runner.Wait()
		Expect(caller.calls).To(Equal(3))
		Expect(finish.Outcome).To(Equal(request.OutcomeUnknown))
	})
}
