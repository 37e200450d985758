package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

// sample contains lines of two instances; one line starts with the prefix of a log collector.
const sample = `
{"time":"2026-04-17T19:07:01.000Z","level":"INFO","msg":"configuration applied","instance":"a","version":3}
{"time":"2026-04-17T19:07:02.000Z","level":"INFO","msg":"configuration applied","instance":"a","version":4}
{"time":"2026-04-17T19:07:02.000Z","level":"INFO","msg":"configuration applied","instance":"b","version":4}
{"time":"2026-04-17T19:07:02.100Z","level":"INFO","msg":"endpoint changed","instance":"a","endpoint":"i-1","leaving":false}
{"time":"2026-04-17T19:07:02.100Z","level":"INFO","msg":"endpoint changed","instance":"a","endpoint":"i-9","leaving":false}
{"time":"2026-04-17T19:07:02.300Z","level":"INFO","msg":"endpoint gone","instance":"a","endpoint":"i-1"}
  3.4 front-a {"time":"2026-04-17T19:07:03.500Z","level":"WARN","msg":"instance was paused","instance":"a","ms":900}
{"time":"2026-04-17T19:07:03.400Z","level":"INFO","msg":"request repeated","instance":"a","id":"r-1","endpoint":"i-1","reason":"broken","sends":1}
{"time":"2026-04-17T19:07:03.450Z","level":"WARN","msg":"request failed","instance":"a","id":"r-1","status":504,"ms":1200,"sends":2,"endpoint":"i-2","reason":"timeout"}
{"time":"2026-04-17T19:07:04.000Z","level":"INFO","msg":"request served","instance":"b","id":"r-2","status":200,"ms":5,"sends":1,"endpoint":"i-2"}
{"time":"2026-04-17T19:07:05.000Z","level":"WARN","msg":"request failed","instance":"b","id":"r-4","status":502,"ms":9,"sends":1,"endpoint":"i-2","reason":"broken"}
{"time":"2026-04-17T19:07:05.010Z","level":"WARN","msg":"endpoint crashed","instance":"b","id":"r-4","endpoint":"i-2","parts":"a1"}
{"time":"2026-04-17T19:07:05.020Z","level":"WARN","msg":"requests quarantined","instance":"b","kind":"prompt part","key":"a1","crashes":3,"epoch":1}
{"time":"2026-04-17T19:07:05.100Z","level":"WARN","msg":"endpoint crashed","instance":"a","id":"r-5","endpoint":"i-3","process":"c1","fingerprint":"f1","parts":"a1"}
{"time":"2026-04-17T19:07:05.101Z","level":"WARN","msg":"endpoint crashed","instance":"b","id":"r-6","endpoint":"i-3","process":"c1","fingerprint":"f2","parts":"a1"}
{"time":"2026-04-17T19:07:05.200Z","level":"WARN","msg":"endpoint crashed","instance":"b","id":"r-7","endpoint":"i-4","process":"c2","fingerprint":"f1","parts":"a1"}
{"time":"2026-04-17T19:07:05.300Z","level":"WARN","msg":"requests quarantined","instance":"b","kind":"fingerprint","key":"f1","crashes":2,"epoch":1}
{"time":"2026-04-17T19:07:05.400Z","level":"WARN","msg":"request failed","instance":"b","id":"r-8","status":503,"ms":0,"sends":0,"fingerprint":"f1","parts":"a1","reason":"quarantined","key":"f1","kind":"fingerprint"}
{"time":"2026-04-17T19:07:05.500Z","level":"WARN","msg":"endpoint crashed","instance":"a","id":"r-9","endpoint":"i-5","process":"c3","fingerprint":"f1","parts":"a1"}
{"time":"2026-04-17T19:07:06.000Z","level":"INFO","msg":"configuration applied","instance":"c","version":5}
{"time":"2026-04-17T19:07:06.100Z","level":"ERROR","msg":"configuration cannot be decoded","instance":"c","version":6,"in_force":5,"withdraws_keys":true}
{"time":"2026-04-17T19:07:06.200Z","level":"WARN","msg":"request refused","instance":"c","id":"r-10","status":401,"reason":"no team has the key"}
not a line
`

var _ = Describe("Collector", func() {
	history := func(id string) History {
		collector := NewCollector(id)
		Expect(collector.Read(strings.NewReader(sample))).To(Succeed())
		return collector.History()
	}

	// Guards against a history without the instance state on which the routing decisions were based.
	It("returns the request's lines and the newest state lines of its instance", func() {
		got := history("r-1")
		Expect(got.Lines).To(HaveLen(2))
		var before []string
		for _, line := range got.Before {
			before = append(before, line.Message+" "+line.Text("version")+line.Text("endpoint"))
		}
		Expect(before).To(Equal([]string{"configuration applied 4", "endpoint gone i-1", "instance was paused "}))
		Expect(got.Verdict).To(Equal("failed with 504 at i-2 after 2 sends: timeout; the instance considered endpoint i-1 gone; " +
			"the instance was paused for 900 ms until 19:07:03.500"))
	})

	// Guards against a refused key whose cause, a version that was rejected, the history does not name.
	It("names the version that was rejected and the one in force", func() {
		got := history("r-10")
		Expect(got.Verdict).To(HaveSuffix("; configuration 6 was refused and 5 stayed in force"))
	})

	// Guards against a verdict that lacks the endpoint, status, duration or number of sends.
	It("describes a served request", func() {
		Expect(history("r-2").Verdict).To(Equal("served by i-2 with status 200 after 5 ms and 1 sends"))
	})

	// Guards against a finding that is logged after the end of a request and hides how it ended.
	It("names the end of a request whose endpoint is found to have crashed later", func() {
		got := history("r-4")
		Expect(got.Lines).To(HaveLen(2))
		Expect(got.Verdict).To(Equal("failed with 502 at i-2 after 1 sends: broken; the instance refused requests with the prompt part a1"))
	})

	// Guards against a refusal without the crashes that led to it, which other instances have logged, and against crashes of other
	// requests with the same prompt part among them.
	It("lists the crashes that the refusal of a request rests on", func() {
		got := history("r-8")
		var crashed []string
		for _, line := range got.Crashes {
			crashed = append(crashed, line.Instance+" "+line.Text("endpoint"))
		}
		Expect(crashed).To(Equal([]string{"a i-3", "b i-4"}))
		Expect(got.Verdict).To(ContainSubstring("the instance refused requests with the fingerprint f1"))
		Expect(got.Verdict).To(ContainSubstring("rests on 2 crashes of endpoints from 19:07:05.100 to 19:07:05.200, the last that of i-4"))
	})

	// Guards against an empty or wrong verdict for a request without log lines.
	It("lists the possible causes if no instance logged the request", func() {
		got := history("r-3")
		Expect(got.Lines).To(BeEmpty())
		Expect(got.Verdict).To(ContainSubstring("no instance logged the request"))
	})
})
