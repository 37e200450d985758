package cloud

import (
	"context"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/rawserver"
)

// Guards against a broken response that counts as an instance, which the cloud may not have started.
func TestBrokenResponseIsNoInstance(t *testing.T) {
	RegisterTestingT(t)
	server, err := rawserver.New()
	Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	client := NewClient(slog.New(slog.DiscardHandler), ClientConfig{Address: server.Address()})
	defer client.Close()
	Expect(server.CheckHeads("200 OK", `{}`, func() error {
		_, err := client.StartInstance(context.Background(), StartOrder{})
		return err
	})).To(Succeed())
}
