package request

import (
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Tokens without end", func() {
	const (
		maxBytes = 16 << 20
		count    = 100
	)

	// begin admits a request and starts an attempt.
	begin := func(registry *Registry) (*Entry, int) {
		entry := create(registry, modelSpec(registry))
		return entry, generate(entry, 0)
	}

	// Guards against a process that ends for lack of memory because engines generate without end for many requests at the same
	// time, and against sound requests that fail because of them.
	ginkgo.It("share a bound and leave memory for the tokens of other requests", func() {
		registry := NewRegistry(incarnation, newReporter(), Config{MaxInProgress: 2 * count, MaxBytes: maxBytes})
		entries, numbers := make([]*Entry, count), make([]int, count)
		for i := range entries {
			entries[i], numbers[i] = begin(registry)
		}
		token, refused := strings.Repeat("x", 4<<10), 0
		for index := 0; refused < count; index++ {
			refused = 0
			for i, entry := range entries {
				if err := entry.AppendToken(numbers[i], index, token); err != nil {
					Expect(err).To(MatchError(ErrTooLarge))
					refused++
				}
			}
			_, _, bytes := registry.Counts()
			Expect(bytes).To(BeNumerically("<=", maxBytes))
		}
		sound, number := begin(registry)
		for index := range freeBytes/(1<<10) - 1 {
			Expect(sound.AppendToken(number, index, token[:1<<10])).To(Succeed())
		}
		for i := range entries {
			if i%2 == 0 {
				Expect(entries[i].Finish(start, completeFinish)).To(Succeed())
				continue
			}
			Expect(entries[i].Finish(start, Finish{Outcome: OutcomeUnknown})).To(Succeed())
		}
		Expect(registry.generated.Load()).To(BeNumerically("==", sound.generated))
	})
})
