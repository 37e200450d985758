package request

import (
	"flag"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/invariant"
	"knapweedhoist/timeline"
)

const incarnation = "01JZZZZZZZZZZZZZZZZZZZZZZZ"

var start = time.UnixMilli(1_700_000_000_000)

func TestRequest(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "request")
}

// init fixes the seed of rapid so that each run draws the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func newReporter() *invariant.Reporter {
	return invariant.NewReporter(slog.New(slog.DiscardHandler), timeline.Discard)
}

func modelSpec(registry *Registry) Spec {
	return Spec{
		ID: registry.NewID(), Team: "a", Service: "pool", Kind: catalog.KindModel, Idempotent: true,
		Completion: &engine.Request{Model: "m", Messages: []engine.Message{{Role: "user", Content: "hi"}}},
		Received:   start, Deadline: start.Add(time.Minute),
	}
}

func plainSpec(registry *Registry) Spec {
	return Spec{
		ID: registry.NewID(), Team: "a", Service: "booking", Kind: catalog.KindPlain,
		Call: &Call{Method: "POST", Path: "/deposits"}, Received: start, Deadline: start.Add(time.Minute),
	}
}
