package quarantine

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Guard", func() {
	var g *Guard
	delay := Config{}.withDefaults().DecisionDelay
	ginkgo.BeforeEach(func() { g = NewGuard(Config{}) })

	// Guards against requests that crash one endpoint after the other, and against refusing sound requests that share the
	// parts before the one that does.
	ginkgo.It("quarantines the part that was never answered, not the ones in progress beside it", func() {
		g.RecordAnswer(start, with(first))
		now := crashes(g, start, 5, with(first, crashing), with(first, other))
		g.RecordAnswer(now, with(first, other))
		Expect(g.Update(now.Add(delay))).To(Equal([]Change{{Kind: Imposed, Key: crashing, Crashes: 5, Epoch: 1}}))
		Expect(refuses(g, now.Add(delay), crashing)).To(BeTrue())
		Expect(refuses(g, now.Add(delay), first)).To(BeFalse())
		Expect(g.Update(now.Add(time.Minute))).To(BeEmpty())
	})

	// Guards against refusing the first part of the prompts, which no request has used before, instead of the one behind it.
	ginkgo.It("quarantines the later one of two parts that explain the same crashes", func() {
		now := crashes(g, start, 3, with(first, crashing))
		changes := g.Update(now.Add(delay))
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Key).To(Equal(crashing))
	})

	// Guards against refusing a popular part after many endpoints were lost at the same time.
	ginkgo.It("does not quarantine a part that is answered after the crashes", func() {
		g.RecordAnswer(start, with(first))
		for process := range uint64(20) {
			g.RecordCrash(start.Add(time.Second), process, with(first))
		}
		g.RecordAnswer(start.Add(1100*time.Millisecond), with(first))
		Expect(g.Update(start.Add(3 * time.Second))).To(BeEmpty())
	})

	// Guards against counting one crash once for each request that it broke.
	ginkgo.It("counts a crash once", func() {
		for range 10 {
			g.RecordCrash(start, 7, with(crashing))
		}
		Expect(g.Update(start.Add(delay))).To(BeEmpty())
	})

	// Guards against a sound part that is held responsible for crashes which another instance can explain.
	ginkgo.It("does not count crashes for which another instance knows the cause", func() {
		elsewhere := NewGuard(Config{})
		now := crashes(elsewhere, start, 3, with(crashing))
		elsewhere.Update(now.Add(delay))
		crashes(g, start, 3, with(other))
		g.Observe(now.Add(delay), elsewhere.Own(now.Add(delay)))
		changes := g.Update(now.Add(2 * delay))
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Key).To(Equal(crashing))
	})

	// Guards against a quarantine that never ends although the part does no harm.
	ginkgo.It("lifts a quarantine at the next answer to the part", func() {
		now := crashes(g, start, 3, with(crashing)).Add(delay)
		g.Update(now)
		g.RecordAnswer(now.Add(time.Second), with(crashing))
		Expect(g.Update(now.Add(time.Second))).To(Equal([]Change{{Kind: Lifted, Key: crashing, Epoch: 1}}))
		Expect(refuses(g, now.Add(time.Second), crashing)).To(BeFalse())
	})

	// Guards against more than three requests that reach endpoints after the quarantine began, within ten minutes.
	ginkgo.It("tries a part again with single requests, each after twice the time", func() {
		now := crashes(g, start, 3, with(crashing)).Add(delay)
		g.Update(now)
		g.SetMayTry(true)
		var trials []time.Duration
		for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
			if refuses(g, now.Add(at), crashing) {
				continue
			}
			trials = append(trials, at)
			g.RecordCrash(now.Add(at), uint64(at), with(crashing))
		}
		Expect(trials).To(Equal([]time.Duration{time.Minute, 3 * time.Minute, 7 * time.Minute}))
		Expect(g.Update(now)).To(HaveLen(3))
	})

	// Guards against a trial that is refused because its endpoint let it wait, and against a request that waits past the start of
	// a quarantine.
	ginkgo.It("admits a waiting trial again, and no request that was admitted before the quarantine", func() {
		g.SetMayTry(true)
		now := crashes(g, start, 3, with(crashing)).Add(delay)
		Expect(g.Update(now)).To(HaveLen(1))
		Expect(g.AdmitAgain(now.Add(time.Second), start, with(crashing))).To(HaveOccurred())
		trial := now.Add(time.Minute)
		Expect(g.Admit(trial, with(crashing))).To(Succeed())
		Expect(g.AdmitAgain(trial.Add(time.Second), trial, with(crashing))).To(Succeed())
	})

	// Guards against trials at each instance.
	ginkgo.It("tries a part at one instance only, and states the time until then", func() {
		now := crashes(g, start, 3, with(crashing)).Add(delay)
		g.Update(now)
		var refused *RefusedError
		Expect(errors.As(g.Admit(now.Add(20*time.Second), with(crashing)), &refused)).To(BeTrue())
		Expect(*refused).To(Equal(RefusedError{Key: crashing, RetryAfter: 40 * time.Second}))
		Expect(refuses(g, now.Add(5*time.Minute), crashing)).To(BeTrue())
	})

	// Guards against state that grows for ever, and against a quarantine that ends while its requests still come.
	ginkgo.It("keeps a quarantine until no request with the part has come for a while at any instance", func() {
		now := crashes(g, start, 3, with(crashing)).Add(delay)
		g.Update(now)
		Expect(refuses(g, now.Add(9*time.Minute), crashing)).To(BeTrue())
		Expect(g.Update(now.Add(18 * time.Minute))).To(BeEmpty())
		g.Observe(now.Add(18*time.Minute), Evidence{Records: []Record{{
			Key: crashing, Epoch: 1, Age: 18 * time.Minute, RefusedAge: time.Minute,
		}}})
		Expect(g.Update(now.Add(26 * time.Minute))).To(BeEmpty())
		Expect(g.Update(now.Add(28 * time.Minute))).To(Equal([]Change{{Kind: Expired, Key: crashing, Epoch: 1}}))
		Expect(g.Own(now.Add(28 * time.Minute))).To(Equal(Evidence{}))
	})

	// Guards against reports that stay large long after many endpoints were lost together, with many parts in progress.
	ginkgo.It("reports a crash for a few seconds only, and counts it for longer", func() {
		now := crashes(g, start, 2, with(crashing))
		Expect(g.Own(now).Crashes).To(HaveLen(2))
		Expect(g.Own(now.Add(10 * time.Second))).To(Equal(Evidence{}))
		now = crashes(g, now.Add(time.Minute), 1, with(crashing)).Add(delay)
		Expect(g.Update(now)).To(HaveLen(1))
	})

	// Guards against a restarted instance that lets the part through again.
	ginkgo.It("takes over the quarantines of other instances", func() {
		now := crashes(g, start, 3, with(crashing)).Add(delay)
		g.Update(now)
		restarted := NewGuard(Config{})
		restarted.Observe(now, g.Own(now))
		Expect(refuses(restarted, now, crashing)).To(BeTrue())
		Expect(restarted.Update(now)).To(Equal([]Change{{Kind: Imposed, Key: crashing, Epoch: 1}}))
	})
})
