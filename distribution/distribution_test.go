package distribution

import (
	"log/slog"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/testutil"
)

func TestMain(m *testing.M) {
	testutil.ConfigureRapid("30")
	os.Exit(m.Run())
}

func TestDistribution(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "distribution")
}

var discardLog = slog.New(slog.DiscardHandler)
