package objectapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var _ = Describe("requests", func() {
	It("guards against an update that is sent without its condition", func() {
		Expect(objectapi.Update(objectapi.KindLease, "capacity", 7, nil).Condition.IfVersion).To(Equal(objectapi.Version(7)))
		Expect(objectapi.Create(objectapi.KindLease, "capacity", nil).Condition.IfAbsent).To(BeTrue())
	})
})
