package quarantine

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxFurther is the number of times that a request may reach endpoints after three of them have crashed under it.
const maxFurther = 3

// crashingLoad is what callers send in the tests of this file: one team repeats a request that crashes endpoints, and another
// team's requests have its prompt part too.
type crashingLoad struct {
	guards []*Guard
	// harmful is the request that crashes endpoints, sound the one that shares its part.
	harmful, sound Request
	// further counts the sends of harmful after the third crash, refused the refusals of sound.
	further, refused int
}

// play runs the load for 20 s: harmful every half second, at one instance after the other, and reports every 100 ms. The answer
// to a sound request that was in progress arrives at the given time after the third crash.
func (l *crashingLoad) play(answerAfter time.Duration) {
	const step, crashTime = 100 * time.Millisecond, 300 * time.Millisecond
	l.guards[0].RecordAnswer(start, l.sound)
	var pending []time.Time // when the endpoints with harmful in progress crash
	var answerAt time.Time
	crashes := 0
	for n := range int(20 * time.Second / step) {
		now := start.Add(time.Duration(n+1) * step)
		at := l.guards[n/5%len(l.guards)]
		for len(pending) > 0 && !pending[0].After(now) {
			pending = pending[1:]
			crashes++
			at.RecordCrash(now, uint64(crashes), l.harmful)
			if crashes == 3 {
				answerAt = now.Add(answerAfter)
			}
		}
		if now.Equal(answerAt) {
			l.guards[1].RecordAnswer(now, l.sound)
		}
		if n%5 == 0 && at.Admit(now, l.harmful) == nil {
			pending = append(pending, now.Add(crashTime))
			if crashes >= 3 {
				l.further++
			}
		}
		for _, g := range l.guards {
			if g.Admit(now, l.sound) != nil {
				l.refused++
			}
		}
		report(now, l.guards)
	}
}

// report exchanges the evidence of all guards and lets them decide.
func report(now time.Time, guards []*Guard) {
	var all Evidence
	for _, g := range guards {
		all.Merge(g.Own(now))
	}
	for _, g := range guards {
		g.Observe(now, all)
		g.Update(now)
	}
}

// Guards against a request that crashes one endpoint after the other because sound requests with the same prompt part are
// answered, and against the refusal of these.
var _ = ginkgo.Describe("A request that crashes endpoints", func() {
	for after := time.Duration(0); after <= 2*time.Second; after += 100 * time.Millisecond {
		ginkgo.It(fmt.Sprintf("is refused alone, if an answer to its part arrives %v after the third crash", after), func() {
			load := &crashingLoad{
				guards:  []*Guard{NewGuard(Config{}), NewGuard(Config{}), NewGuard(Config{})},
				harmful: Request{Key: RequestKey(1), Parts: []Key{crashing}},
				sound:   Request{Key: RequestKey(2), Parts: []Key{crashing}},
			}
			load.play(after)
			Expect(load.further).To(BeNumerically("<=", maxFurther))
			Expect(load.refused).To(BeZero())
		})
	}
})
