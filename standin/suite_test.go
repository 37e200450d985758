package standin_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/standin"
)

// hangGuard is a time that no passing test reaches: the timeout of waits, and a notice period or watch wait that must not
// end during a test. No assertion depends on its value.
const hangGuard = 30 * time.Second

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

var discardLog = slog.New(slog.DiscardHandler)

type starter interface {
	Start(addr string) error
	Addr() string
	Close() error
}

// start starts a stand-in on a free port, closes it at the end of the spec, and returns its address.
func start(s starter) string {
	GinkgoHelper()
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return s.Addr()
}

func contextWithHangGuard() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	DeferCleanup(cancel)
	return ctx
}

// reportCalls returns a Fault.Match that matches every call and sends each one to received, so that a test can
// wait for the call.
func reportCalls(received chan<- standin.Call) func(standin.Call) bool {
	return func(call standin.Call) bool {
		received <- call
		return true
	}
}
