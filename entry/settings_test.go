package entry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ParseSettings", func() {
	const required = `
instance: "entry-1"
data_centre: "dc"
store: "10.0.0.1:80"
listen: {callers: "10.0.0.2:1", ready: "10.0.0.2:2", peers: "10.0.0.2:3"}
`

	// Guards against a process that does not start where the platform has no value for a placeholder.
	It("keeps the default of a field without value", func() {
		settings, err := ParseSettings([]byte(required + "retries:\n  ratio: \n  window_s: \nalternation_ms: \ncloud: \"\"\nduties: []\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Retries).To(Equal(DefaultSettings().Retries))
		Expect(settings.AlternationMS).To(Equal(3000.0))
	})

	DescribeTable("refuses settings that cannot be meant",
		func(more string) {
			_, err := ParseSettings([]byte(required + more))
			Expect(err).To(HaveOccurred())
		},
		Entry("unknown key", "unknown: 1\n"),
		Entry("value of another type", "memory_mb: many\n"),
		Entry("value out of bounds", "usage: {window_s: -1}\n"),
		Entry("address without port", "cloud: \"10.0.0.1\"\n"),
	)

	It("names a required field that is missing", func() {
		_, err := ParseSettings([]byte("instance: a\n"))
		Expect(err).To(MatchError(ContainSubstring("DataCentre")))
	})
})
