package streamorigin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/streamorigin"
)

var _ = Describe("Statement", func() {
	// Guards against entries that count for longer than their writer stated (LOST), or for shorter because of clocks (ORDER).
	DescribeTable("is aged by what exceeds the tolerance of clocks", func(age, remaining time.Duration) {
		written := time.Unix(2000, 0)
		statement := streamorigin.Statement{WrittenAt: written, Entries: []streamorigin.Entry{{Key: 1, Remaining: 5 * time.Second}}}
		Expect(statement.Aged(written.Add(age)).Entries).To(HaveExactElements(HaveField("Remaining", remaining)))
		statement.WrittenAt = time.Time{}
		Expect(statement.Aged(written.Add(age)).Entries).To(HaveExactElements(HaveField("Remaining", 5*time.Second)))
	},
		Entry("not by a clock that is behind", -time.Hour, 5*time.Second),
		Entry("not within the tolerance", 10*time.Second, 5*time.Second),
		Entry("beyond it", 12*time.Second, 3*time.Second),
	)
})
