package entry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
	"knapweedhoist/internal/rawserver"
)

var _ = Describe("The configuration of another instance", func() {
	// Guards against a configuration that was cut and is put in force. Instances send it with a length; of an answer without one,
	// the decoder refuses a part (platform.DecodeConfig).
	It("is not fetched if its answer ends early or is broken", func() {
		server, err := rawserver.New()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		const value = `{"Version":7}`
		server.ForEachCut("200 OK", value, func(cut rawserver.Cut) {
			got, err := fetchConfig(server.Address())
			if cut.Whole {
				Expect(err).NotTo(HaveOccurred(), cut.Text)
				Expect(string(got)).To(Equal(value))
				return
			}
			if err == nil {
				Expect(cut.Unframed).To(BeTrue(), cut.Text)
				Expect(len(got)).To(BeNumerically("<", len(value)), cut.Text)
			}
		})
		Expect(server.CheckHeads("200 OK", value, func() error {
			_, err := fetchConfig(server.Address())
			return err
		})).To(Succeed())
		server.Answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false)
		_, err = fetchConfig(server.Address())
		Expect(err).To(MatchError(deployment.ErrNoConfig))
	})
})
