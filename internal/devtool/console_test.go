package devtool

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
)

var _ = Describe("console", func() {
	It("guards against a fault that is confirmed but has no effect, a reclaim that reports a wrong number of instances, and an invalid query that is accepted", func() {
		d, err := startDeployment(context.Background(), slog.New(slog.DiscardHandler), topology{
			datacentres: sampleDatacentres[:2], engines: 2, services: 2,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		c, err := startConsole(d, "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.close)
		post := func(path string) (int, string) {
			response, err := http.Post("http://"+c.address+path, "", nil)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			return response.StatusCode, string(text)
		}
		status, text := post("/fault?on=platform&kind=outage&op=get&count=1")
		Expect(status).To(Equal(http.StatusOK), text)
		_, err = d.Platform.Do(context.Background(), objectapi.Get(objectapi.KindConfig, "current"))
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
		_, err = d.Platform.Do(context.Background(), objectapi.Get(objectapi.KindConfig, "current"))
		Expect(err).NotTo(HaveOccurred())

		status, text = post("/reclaim?datacentre=" + sampleDatacentres[0])
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(ContainSubstring("2 instances"))

		for _, invalid := range []string{
			"/fault?on=platform&kind=none&count=1", "/fault?on=nothing&kind=delay&count=1", "/fault?on=platform&kind=outage",
			"/fault?on=platform&kind=delay&for=3", "/reclaim",
		} {
			status, text = post(invalid)
			Expect(status).To(Equal(http.StatusBadRequest), invalid+": "+text)
		}
	})
})
