package lease

import (
	"log/slog"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/testutil"
)

func TestMain(m *testing.M) {
	testutil.ConfigureRapid("120")
	os.Exit(m.Run())
}

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var discardLog = slog.New(slog.DiscardHandler)
