package devtool

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDevtool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "devtool")
}
