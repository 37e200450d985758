package streamorigin_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/streamorigin"
)

var _ = Describe("Schedule", func() {
	now := time.Unix(1000, 0)
	errRefused := errors.New("the store refuses the call")
	// play returns the number of calls by step in 30 s, of which those that fail reports fail.
	play := func(fails func(streamorigin.Step) bool) map[streamorigin.Step]int {
		schedule, calls := streamorigin.NewSchedule(0), make(map[streamorigin.Step]int)
		for at := now; at.Before(now.Add(30 * time.Second)); at = at.Add(50 * time.Millisecond) {
			step := schedule.Next(at, streamorigin.Situation{Unread: true, Awaited: true, Mixed: true, Unwritten: true, Instances: 8})
			if step == streamorigin.StepNone {
				continue
			}
			calls[step]++
			var err error
			if fails(step) {
				err = errRefused
			}
			schedule.Done(at, step, streamorigin.YoungOtherObjects, err)
		}
		return calls
	}

	// Guards against take-ups that are refused because reads wait for writes that fail (LOST), and the other way round.
	It("reads and writes independently of each other", func() {
		calls := play(func(step streamorigin.Step) bool { return step == streamorigin.StepWrite })
		Expect(calls[streamorigin.StepRead]).To(BeNumerically(">=", 150))
		Expect(calls[streamorigin.StepWrite]).To(BeNumerically("<=", 20))
		calls = play(func(step streamorigin.Step) bool { return step == streamorigin.StepRead })
		Expect(calls[streamorigin.StepWrite]).To(BeNumerically(">=", 80))
		Expect(calls[streamorigin.StepRead]).To(BeNumerically("<=", 20))
	})
})
