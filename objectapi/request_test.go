package objectapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "objectapi")
}

var _ = Describe("Request", func() {
	// Guards against an update that is sent without its condition and overwrites a newer version.
	It("carries the condition of an update and of a creation", func() {
		Expect(objectapi.Update(objectapi.KindLease, "capacity", 7, nil).Condition.IfVersion).To(Equal(objectapi.Version(7)))
		Expect(objectapi.Create(objectapi.KindLease, "capacity", nil).Condition.IfAbsent).To(BeTrue())
	})
})
