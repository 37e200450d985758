package boundedlog

import (
	"bytes"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// buffer is an output whose writes block while blocked is locked.
type buffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked sync.Mutex
}

func (b *buffer) Write(p []byte) (int, error) {
	b.blocked.Lock()
	defer b.blocked.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var _ = Describe("Logger", func() {
	// Guards against requests that wait for a blocked log output.
	It("does not wait for an output that blocks", func() {
		out := &buffer{}
		out.blocked.Lock()
		log := New(out, Config{LinesPerSecond: 1000, Queue: 4})
		for range 100 {
			log.Info("line")
		}
		out.blocked.Unlock()
		log.Close()
		Expect(strings.Count(out.String(), "\n")).To(BeNumerically("<=", 6))
	})

	// Guards against warnings that are dropped because of ordinary lines.
	It("keeps warnings when ordinary lines are dropped, and logs how many were dropped", func() {
		out := &buffer{}
		log := New(out, Config{LinesPerSecond: 1})
		for range 50 {
			log.Info("ordinary")
		}
		log.Warn("failure")
		log.Close()
		Expect(strings.Count(out.String(), "ordinary")).To(Equal(2))
		Expect(out.String()).To(ContainSubstring(`"failure","lines_left_out":48`))
	})
})
