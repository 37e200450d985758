package hoistctl

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/internal/rawserver"
)

var _ = Describe("A response of the operator API", func() {
	// callRaw calls a server that sends raw responses, with a body of this size.
	callRaw := func(server *rawserver.Server, bodyBytes int) error {
		c, err := newClient(options{Address: server.Address(), Timeout: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		var result struct{}
		return c.call("PUT", "/operator/v1/in-force", strings.Repeat("x", bodyBytes), &result)
	}
	var server *rawserver.Server
	BeforeEach(func() {
		var err error
		server, err = rawserver.New()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
	})

	// Guards against a broken response that tells the operator that a change is stored.
	It("is a failure if its head is invalid", func() {
		Expect(server.CheckHeads("200 OK", `{}`, func() error { return callRaw(server, 0) })).To(Succeed())
	})

	// Guards against a part of a response that counts as a complete one.
	It("is a failure if it is reset while the request is being written", func() {
		Expect(server.CheckEarlyReset("200 OK", `{}`, func() error { return callRaw(server, rawserver.UploadBytes) })).To(Succeed())
	})
})
