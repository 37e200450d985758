package standin_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/standin"
)

// BenchmarkStream measures the token throughput from ten engines to one client
// process over loopback, 20 streams per engine.
func BenchmarkStream(b *testing.B) {
	var clients []*engine.Client
	for range 10 {
		server := standin.NewEngine(discardLog, standin.EngineConfig{
			InterToken: time.Millisecond, InterTokenEach: time.Nanosecond, PrefillPerSecond: 1e9,
		})
		if err := server.Start("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		defer server.Close()
		clients = append(clients, engine.NewClient(discardLog, engine.ClientConfig{Address: server.Addr()}))
	}
	const streams = 200
	tokensPerStream := b.N/streams + 1
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			request := prompt(fmt.Sprint(i), fmt.Sprintf("tokens=%d", tokensPerStream))
			if _, _, err := streamTokens(context.Background(), clients[i%len(clients)], request); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(tokensPerStream*streams)/b.Elapsed().Seconds(), "tokens/s")
}
