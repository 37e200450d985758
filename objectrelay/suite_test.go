package objectrelay

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestObjectrelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "objectrelay")
}
