package bench_test

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/bench"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

// BenchmarkTables measures the scenarios and writes their tables to standard output. Environment variables set the
// directory for CSV files and histograms (BENCH_OUT), the seed (BENCH_SEED), and comma-separated lists of scenarios
// (BENCH_SCENARIOS) and variants (BENCH_VARIANTS).
func BenchmarkTables(b *testing.B) {
	seed, _ := strconv.ParseInt(os.Getenv("BENCH_SEED"), 10, 64)
	opts := bench.Options{
		Seed: seed, Directory: os.Getenv("BENCH_OUT"),
		Scenarios: list("BENCH_SCENARIOS"), Variants: list("BENCH_VARIANTS"),
	}
	for b.Loop() {
		if err := bench.Run(os.Stdout, opts); err != nil {
			b.Fatal(err)
		}
	}
}

func list(name string) []string {
	return strings.FieldsFunc(os.Getenv(name), func(r rune) bool { return r == ',' })
}

var _ = Describe("tables", func() {
	It("guards against results that depend on anything but the seed", func() {
		opts := bench.Options{Seed: 7, Scenarios: []string{"stragglers"}, Variants: []string{"policy"}}
		var first, second bytes.Buffer
		Expect(bench.Run(&first, opts)).To(Succeed())
		Expect(bench.Run(&second, opts)).To(Succeed())
		Expect(second.String()).To(Equal(first.String()))
	})
})
