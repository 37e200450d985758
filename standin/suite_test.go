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

// hangGuard only ends a test that hangs; no verdict depends on it.
const hangGuard = 30 * time.Second

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

var lg = slog.New(slog.DiscardHandler)

type starter interface {
	Start(addr string) error
	Addr() string
	Close() error
}

// start serves a stand-in on a free port until the end of the spec.
func start(s starter) string {
	GinkgoHelper()
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return s.Addr()
}

func guarded() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	DeferCleanup(cancel)
	return ctx
}

// noting matches every call and passes it on, so that a test can wait for it.
func noting(reached chan<- standin.Call) func(standin.Call) bool {
	return func(call standin.Call) bool {
		reached <- call
		return true
	}
}
