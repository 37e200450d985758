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

// TestTables writes the tables of record; it runs only with BENCH_OUT set.
func TestTables(t *testing.T) {
	out := os.Getenv("BENCH_OUT")
	if out == "" {
		t.Skip("BENCH_OUT is not set")
	}
	var names []string
	if s := os.Getenv("BENCH_SCENARIOS"); s != "" {
		names = strings.Split(s, ",")
	}
	var variants []string
	if s := os.Getenv("BENCH_VARIANTS"); s != "" {
		variants = strings.Split(s, ",")
	}
	seed, _ := strconv.ParseInt(os.Getenv("BENCH_SEED"), 10, 64)
	if err := bench.Run(os.Stdout, bench.Options{Seed: seed, Scenarios: names, Variants: variants, Directory: out}); err != nil {
		t.Fatal(err)
	}
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
