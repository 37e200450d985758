package settings_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `instance: entry-1
datacentre: quito-norte
region: sierra
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  peers: 127.0.0.1:8082
  heartbeats: 127.0.0.1:8083
platform:
  address: 127.0.0.1:9000
list:
  address: 127.0.0.1:9001
fleet_key: 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
operators:
  - name: marisol
    key_hash: 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
limits:
  read_timeout: 5s
`

// validWith returns validSettings with the first occurrence of from replaced by to.
func validWith(from, to string) []byte {
	return []byte(strings.Replace(validSettings, from, to, 1))
}

var _ = Describe("Parse", func() {
	It("guards against omitted fields that do not get their defaults", func() {
		parsed, err := settings.Parse("hoist.yaml", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Limits.ReadTimeout).To(Equal(settings.Duration(5 * time.Second)))
		Expect(parsed.Limits.MaxRequests).To(Equal(4096))
		Expect(parsed.Shutdown.DrainTimeout).To(Equal(settings.Duration(30 * time.Second)))
	})

	DescribeTable("guards against invalid settings that are accepted, and against errors without line, field or allowed values",
		func(content []byte, expected string) {
			_, err := settings.Parse("hoist.yaml", content)
			Expect(err).To(MatchError(expected))
		},
		Entry("unknown key", validWith("region:", "regoin:"),
			"hoist.yaml:3: field regoin: unknown; allowed are instance, datacentre, region, distances, listen, platform, list, "+
				"cloud, fleet_key, operators, limits, shutdown, log"),
		Entry("missing required field", validWith("region: sierra\n", ""),
			"hoist.yaml:1: field region: missing; it is required"),
		Entry("duration without a unit", validWith("5s", "5"),
			`hoist.yaml:18: field limits.read_timeout: "5" is not a duration with a unit, for example 250ms or 30s`),
		Entry("value above the maximum", validWith("5s", "5h"),
			"hoist.yaml:18: field limits.read_timeout: too large; allowed is 120s or less"),
		Entry("host name in place of an IP address", validWith("127.0.0.1:8082", "localhost:8082"),
			`hoist.yaml:7: field listen.peers: "localhost:8082"; allowed is an IP number and a port, for example 127.0.0.1:8080`),
		Entry("invalid field of a list item", validWith("name: marisol", "name: Marisol"),
			`hoist.yaml:15: field operators[0].name: "Marisol"; allowed are 1 to 63 lower-case letters, digits and hyphens`),
		Entry("duplicate key", append([]byte(validSettings), "region: costa\n"...),
			"hoist.yaml:19: field region: given twice; allowed is once"),
		Entry("empty file", []byte(""), "hoist.yaml:1: the file is empty"),
		Entry("value of the wrong type", validWith("read_timeout: 5s", "max_requests: many"),
			"hoist.yaml:18: field limits.max_requests: cannot unmarshal !!str `many` into int"),
	)

	It("guards against credentials in formatted output", func() {
		parsed, _ := settings.Parse("hoist.yaml", []byte(validSettings))
		Expect(parsed.FleetKey.String()).NotTo(ContainSubstring("0011"))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("instance: [a"))
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("? {a: b}\n: c"))
	f.Add([]byte("- 1"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = settings.Parse("hoist.yaml", content)
	})
}
