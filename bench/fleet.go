package bench

import (
	"fmt"
	"time"

	"knapweedhoist/routing"
)

// The simulated fleet: eight entry instances, ten engines and four servers of a plain service, distributed over
// datacentres.
const (
	entryCount       = 8
	engineCount      = 10
	plainServerCount = 4

	serviceModel = "asistente"
	servicePlain = "reservas"
	modelName    = "contracts"
)

var datacentres = [...]string{"quito-norte", "quito-sur", "ambato", "riobamba"}

func distances() map[string]time.Duration {
	d := make(map[string]time.Duration, len(datacentres))
	for _, name := range datacentres {
		d[name] = time.Millisecond
	}
	return d
}

// latency returns the one-way network latency between two data centres.
func latency(a, b string) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return time.Millisecond
}

func engineEndpoint(i, incarnation int) routing.Endpoint {
	return routing.Endpoint{
		ID:         fmt.Sprintf("engine-%d.%d", i, incarnation),
		Service:    serviceModel,
		Models:     []string{modelName},
		Datacentre: datacentres[i%len(datacentres)],
		Profile: routing.Profile{
			PrefillPerSecond: 20000, StepBase: 8 * time.Millisecond, StepPerSequence: 200 * time.Microsecond, Slots: 32,
		},
	}
}

func plainEndpoint(i int) routing.Endpoint {
	return routing.Endpoint{
		ID:         fmt.Sprintf("plain-%d", i),
		Service:    servicePlain,
		Datacentre: datacentres[i%len(datacentres)],
		Profile: routing.Profile{
			PrefillPerSecond: 20000, StepBase: 10 * time.Millisecond, StepPerSequence: time.Millisecond, Slots: 16,
		},
	}
}
