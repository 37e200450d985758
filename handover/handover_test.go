package handover

import (
	"flag"
	"log/slog"
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/timeline"
)

const (
	sourceName = "01JHHHHHHHHHHHHHHHHHHHHHHH"
	peerName   = "01JPPPPPPPPPPPPPPPPPPPPPPP"
	otherName  = "01JQQQQQQQQQQQQQQQQQQQQQQQ"
)

var start = time.UnixMilli(1_700_000_000_000)

// init fixes the seed of the property tests, so that each run draws the same cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func newReporter() *invariant.Reporter {
	return invariant.NewReporter(slog.New(slog.DiscardHandler), timeline.Discard)
}
