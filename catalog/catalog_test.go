package catalog_test

import (
	"encoding/hex"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/catalog"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

func hash(key string) string {
	sum := catalog.HashKey(key)
	return hex.EncodeToString(sum[:])
}

func document() *catalog.Document {
	d := catalog.Initial()
	d.Services = []catalog.Service{
		{Name: "reservas", Kind: catalog.KindPlain, Idempotent: []catalog.CallRule{{Method: "PUT", PathPrefix: "/halls"}}},
		{Name: "asistente", Kind: catalog.KindModel, Models: []string{"contract-l", "contract-s"}},
	}
	d.Teams = []catalog.Team{{Name: "quito", KeyHashes: []string{hash("secret")}, Services: []string{"reservas", "asistente"}}}
	return d
}

var _ = Describe("the document", func() {
	DescribeTable("guards against a validation error that does not name the item, the field and the rule",
		func(corrupt func(*catalog.Document), message string) {
			d := document()
			corrupt(d)
			err := d.Validate()
			Expect(err).To(MatchError(catalog.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(message))
		},
		Entry("name", func(d *catalog.Document) { d.Services[0].Name = "Reservas" }, `service "Reservas": name: must be 1 to 63 lower-case`),
		Entry("no name", func(d *catalog.Document) { d.Presets = append(d.Presets, catalog.Preset{}) }, `preset "#1": name: must be set`),
		Entry("kind", func(d *catalog.Document) { d.Services[0].Kind = "tcp" }, `service "reservas": kind: must be one of model, plain`),
		Entry("method", func(d *catalog.Document) { d.Services[0].Idempotent[0].Method = "GET" }, `idempotent[0].method: must be one of POST, PUT`),
		Entry("models", func(d *catalog.Document) { d.Services[1].Models = nil }, `service "asistente": models: a model service must have`),
		Entry("shared model", func(d *catalog.Document) { d.Services[1].Models = []string{"a", "a"} }, `models[1]: model "a" must belong to one`),
		Entry("duplicate", func(d *catalog.Document) { d.Teams = append(d.Teams, d.Teams[0]) }, `team "quito": name: must be unique`),
		Entry("shared key", func(d *catalog.Document) { d.Teams = append(d.Teams, d.Teams[0]) }, `key_hashes[0]: must differ`),
		Entry("reference", func(d *catalog.Document) { d.Teams[0].Services[1] = "gone" }, `team "quito": services[1]: must name a service; there is no service "gone"`),
		Entry("key hash", func(d *catalog.Document) { d.Teams[0].KeyHashes[0] = "0x" + hash("s")[2:] }, `key_hashes[0]: must be 64 lower-case`),
		Entry("bounds", func(d *catalog.Document) { d.Presets[0].FirstTokenTargetMs = 10 }, `preset "ordinary": first_token_target_ms: must be at least 50`),
		Entry("in force", func(d *catalog.Document) { d.InForce = "peak" }, `in_force "peak": the preset in force must exist`),
		Entry("no preset", func(d *catalog.Document) { d.Presets = nil }, `there must be at least one preset`),
	)

	It("guards against accepting a misspelt field, data after the document or a document above MaxDocumentBytes", func() {
		for _, text := range []string{`{"revisions":1}`, `{"revision":1}{}`, `{"services":[{"name":"a","knid":"plain"}]}`} {
			_, err := catalog.Decode([]byte(text))
			Expect(err).To(HaveOccurred(), text)
		}
		_, err := catalog.Decode([]byte(strings.Repeat(" ", catalog.MaxDocumentBytes+1)))
		Expect(err).To(MatchError(catalog.ErrTooLarge))
	})

	It("guards against equal documents with different encodings", func() {
		d := document()
		encoded, err := d.Encode()
		Expect(err).NotTo(HaveOccurred())
		d.Services[0], d.Services[1] = d.Services[1], d.Services[0]
		Expect(d.Encode()).To(Equal(encoded))
		decoded, err := catalog.Decode(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Encode()).To(Equal(encoded))
	})

	It("guards against a document that retains more than MaxChanges changes, or not the latest ones", func() {
		d := catalog.Initial()
		var err error
		for range 200 {
			after := []byte(`{"name":"p","short_tokens":5}`)
			d, err = d.WithChange(catalog.Change{Revision: d.Revision + 1, Kind: catalog.ItemPreset, Name: "p", After: after})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(d.Changes).To(HaveLen(catalog.MaxChanges))
		Expect(d.Changes[0].Revision).To(Equal(uint64(137)))
	})
})

var _ = Describe("the snapshot", func() {
	It("guards against a zero that is replaced by the default and a field without its default", func() {
		d, zero := document(), 0
		d.Presets[0].HeadroomPercent = &zero
		s, err := catalog.NewSnapshot(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(*s.InForce().HeadroomPercent).To(Equal(0))
		Expect(*s.InForce().ReclaimableShare).To(Equal(56))
		Expect(s.InForce().FirstTokenTargetMs).To(Equal(1200))
		service, _ := s.Service("reservas")
		Expect(service.RetentionHours).To(Equal(24))
		zero = 7
		Expect(*s.InForce().HeadroomPercent).To(Equal(0), "a snapshot shares nothing with its document")
	})

	It("guards against look-ups that return the wrong item", func() {
		s, err := catalog.NewSnapshot(document())
		Expect(err).NotTo(HaveOccurred())
		service, _ := s.ServiceByModel("contract-s")
		Expect(service.Name).To(Equal("asistente"))
		team, _ := s.TeamByKeyHash(catalog.HashKey("secret"))
		Expect(team.Name).To(Equal("quito"))
		near := catalog.HashKey("secret")
		near[31]++
		_, found := s.TeamByKeyHash(near)
		Expect(found).To(BeFalse())
	})
})
