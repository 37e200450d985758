package forward

import (
	"log/slog"
	"runtime"
	"weak"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
)

var _ = Describe("A request in progress", func() {
	// Guards against a process that keeps a whole configuration for each stream in progress and exceeds its memory while the
	// operator changes a large one in quick succession.
	It("does not keep a replaced configuration in memory", func() {
		state := deployment.NewState()
		setConfig := func(version int64) weak.Pointer[deployment.Config] {
			route := &deployment.Route{Prefix: "/", Targets: []deployment.Target{{Service: "s"}}}
			config := deployment.NewConfig(version, []*deployment.Route{route}, []*deployment.Service{{Name: "s"}},
				deployment.OpenToAll, nil, deployment.Limits{})
			Expect(state.SetConfig(config)).To(BeTrue())
			return weak.Make(config)
		}
		first := setConfig(1)
		state.SetEndpoints(nil)
		server := NewServer(Config{}, Deps{
			Log: slog.New(slog.DiscardHandler), Codec: plainCodec{}, State: state,
			Metrics: NewMetrics(metrics.NewRegistry()), Now: clock.Now, Random: func() float64 { return 0 },
		})
		e := server.newExchange(&fasthttp.RequestCtx{})
		Expect(e.admit()).To(BeNil())
		setConfig(2)
		runtime.GC()
		Expect(first.Value()).To(BeNil())

		Expect(e.configVersion).To(Equal(int64(1)))
		Expect(e.service.Name).To(Equal("s"))
	})
})
