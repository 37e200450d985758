package streamorigin_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/streamorigin"
)

var _ = Describe("Directory", func() {
	const service = "s"
	var (
		now       time.Time
		directory *streamorigin.Directory
	)
	origin := func(version string) streamorigin.Origin {
		return streamorigin.Origin{Service: service, Version: version}
	}
	list := func(d *streamorigin.Directory, versions ...string) {
		listed := make(map[streamorigin.Origin]bool)
		for _, version := range versions {
			listed[origin(version)] = true
		}
		d.SetListed(now, listed)
		d.Confirm(now, now)
		d.Read(now)
		d.ObserveConnection(now, streamorigin.Connection{Complete: true, Instances: 2})
	}
	find := func(d *streamorigin.Directory, id string) string {
		found, answer := d.Find(now, now, id, service)
		if answer != streamorigin.Known {
			return answer.String()
		}
		return found.Version
	}
	BeforeEach(func() {
		now, directory = time.Unix(1000, 0), streamorigin.NewDirectory(2*time.Second, 0)
		list(directory, "v1")
	})

	// Guards against a take-up of all streams at another instance, while two versions replace each other, that joins text of two
	// versions or loses streams (ORDER, LOST). This is the load pattern of the package comment.
	It("tells another instance where all streams began that are taken up at once", func() {
		const streams = 6000
		other := streamorigin.NewDirectory(2*time.Second, 0)
		list(other, "v1")
		versionOf := func(n int) string { return fmt.Sprint("v", 1+n%2) }
		list(directory, "v1", "v2")
		directory.Update(now)
		for n := range streams {
			directory.Record(now, fmt.Sprint(n), origin(versionOf(n)), now.Add(streamorigin.Lifetime))
		}
		messages := 0
		for statement := directory.TakeUnsent(now, 500); len(statement.Entries) > 0; statement = directory.TakeUnsent(now, 500) {
			if messages++; messages%3 != 0 { // every third message is lost
				other.Learn(now, statement)
			}
		}
		Expect(messages).To(Equal(2 * streams / 500))
		other.Learn(now, streamorigin.Statement{Entries: directory.TakeOwn(now, streams)})
		list(other, "v2")
		for n := range streams {
			Expect(find(other, fmt.Sprint(n))).To(Equal(versionOf(n)))
		}
		Expect(find(other, "of nobody")).To(Equal(streamorigin.Mixed.String()))
		now = now.Add(streamorigin.Lifetime)
		list(other, "v2")
		Expect(find(other, "of nobody")).To(Equal("v2"))
		Expect(other.Update(now)).To(BeEmpty())
		Expect(other.Remembered()).To(BeZero())
	})

	// Guards against a new version that one lost message hides (ORDER), and against messages to all from all instances at once.
	It("announces a further version three times unless another instance has", func() {
		other := streamorigin.NewDirectory(2*time.Second, 0)
		list(other, "v1")
		Expect(directory.TakeAnnouncement().IsEmpty()).To(BeTrue())
		list(directory, "v1", "v2")
		list(other, "v1", "v2")
		for range 3 {
			announced := directory.TakeAnnouncement()
			Expect(announced.InService).To(Equal(map[streamorigin.Origin]bool{origin("v2"): true}))
			other.Learn(now, announced)
			Expect(other.TakeAnnouncement().IsEmpty()).To(BeTrue())
		}
		Expect(directory.TakeAnnouncement().IsEmpty()).To(BeTrue())
		list(directory, "v1")
		now = now.Add(streamorigin.Lifetime - time.Second)
		list(directory, "v1", "v2") // an endpoint that restarts
		Expect(directory.TakeAnnouncement().IsEmpty()).To(BeTrue())
		list(directory, "v1")
		now = now.Add(streamorigin.Lifetime)
		list(directory, "v1", "v2")
		Expect(directory.TakeAnnouncement().IsEmpty()).To(BeFalse())
	})

	// Guards against a take-up that is refused or guessed because its stream waits behind older ones to be sent (ORDER, LOST).
	It("sends the newest streams first", func() {
		record := func(name string, n int) {
			for i := range n {
				directory.Record(now, fmt.Sprint(name, i), origin("v1"), now.Add(streamorigin.Lifetime))
			}
		}
		record("before", 1000)
		list(directory, "v1", "v2")
		directory.Update(now)
		record("after", 100)
		sent := directory.TakeUnsent(now, 200).Entries
		for n := range 100 {
			key := streamorigin.KeyOf(fmt.Sprint("after", n))
			Expect(sent).To(ContainElement(HaveField("Key", key)))
			Expect(sent).To(ContainElement(HaveField("Key", streamorigin.KeyOf(fmt.Sprint("before", 900+n)))))
		}
	})

	// Guards against a memory that grows with the number of streams, or of origins.
	It("forgets the oldest streams beyond its bound", func() {
		small := streamorigin.NewDirectory(time.Second, 2*streamorigin.EntryBytes)
		for n := range 3 {
			small.Record(now, fmt.Sprint(n), origin("v1"), now.Add(streamorigin.Lifetime))
		}
		Expect(small.Remembered()).To(Equal(2))
		for n := range streamorigin.MaxEntries + 10 {
			directory.Record(now, fmt.Sprint(n), origin("v1"), now.Add(streamorigin.Lifetime))
		}
		Expect(directory.Remembered()).To(Equal(streamorigin.MaxEntries))
		for n := range 2 * streamorigin.MaxOrigins {
			directory.Record(now, fmt.Sprint("origin ", n), streamorigin.Origin{Service: fmt.Sprint(n)}, now.Add(streamorigin.Lifetime))
		}
		_, answer := directory.Find(now, now, fmt.Sprint("origin ", 2*streamorigin.MaxOrigins-1), service)
		Expect(answer).To(Equal(streamorigin.Known)) // the service's only version
		Expect(find(directory, fmt.Sprint(streamorigin.MaxEntries))).To(Equal("v1"))
	})

	// Guards against a stream that goes on at one of two versions that both count as its own.
	It("does not choose between two origins of one stream", func() {
		directory.Record(now, "a", origin("v1"), now.Add(streamorigin.Lifetime))
		directory.Learn(now, streamorigin.Statement{Entries: []streamorigin.Entry{{Key: streamorigin.KeyOf("a"), Origin: origin("v2"), Remaining: time.Second}}})
		Expect(find(directory, "a")).To(Equal(streamorigin.Ambiguous.String()))
	})

	// Guards against entries without a version, and a restart under the same id, that count as the version of others.
	It("keeps endpoints without a version apart from others", func() {
		list(directory, "")
		Expect(find(directory, "a")).To(Equal(streamorigin.Mixed.String()))
		now = now.Add(streamorigin.Lifetime)
		list(directory, "")
		Expect(find(directory, "a")).To(BeEmpty())
	})

	// Guards against a version that is not counted because of many others that end before it (ORDER).
	It("counts a version after 32 others that end before it", func() {
		d := streamorigin.NewDirectory(time.Minute, 0)
		for n := range 32 {
			d.Record(now, fmt.Sprint(n), origin(fmt.Sprint("a", n)), now.Add(time.Second))
		}
		d.Learn(now, streamorigin.Statement{Entries: []streamorigin.Entry{{Key: 1, Origin: origin("old"), Remaining: streamorigin.Lifetime}}})
		list(d, "new")
		now = now.Add(streamorigin.Lifetime - time.Second)
		list(d, "new")
		Expect(find(d, "another stream of old")).To(Equal(streamorigin.Mixed.String()))
		now = now.Add(time.Second)
		list(d, "new")
		Expect(find(d, "a stream of new")).To(Equal("new"))
	})

	// Guards against a version that is known from the streams of others only, and not counted (ORDER).
	It("counts the versions of the streams that others state", func() {
		directory.Learn(now, streamorigin.Statement{Entries: []streamorigin.Entry{{Key: 1, Origin: origin("v2"), Remaining: 5 * time.Second}}})
		Expect(find(directory, "another stream of v2")).To(Equal(streamorigin.Mixed.String()))
		now = now.Add(5 * time.Second)
		list(directory, "v1")
		Expect(find(directory, "a stream of v1")).To(Equal("v1"))
	})

	// Guards against endpoints that count as confirmed lately because the news of it is new (ORDER).
	It("counts the age of a confirmation", func() {
		begin := now
		now = now.Add(3 * time.Second)
		directory.ObserveConnection(now, streamorigin.Connection{Instances: 2})
		directory.Confirm(now, begin)
		directory.Read(now)
		Expect(find(directory, "a")).To(Equal(streamorigin.Incomplete.String()))
		directory.Confirm(now, now.Add(-time.Second))
		directory.Read(now)
		Expect(find(directory, "a")).To(Equal("v1"))
	})

	// Guards against messages from another version of the program, or broken ones, that end the process.
	It("refuses a message whose columns don't fit", func() {
		message := streamorigin.Encode(streamorigin.Statement{Entries: []streamorigin.Entry{{Key: 1, Origin: origin("v1"), Remaining: time.Second}}})
		statement, err := streamorigin.Decode(message)
		Expect(err).NotTo(HaveOccurred())
		Expect(statement.Entries).To(HaveExactElements(streamorigin.Entry{Key: 1, Origin: origin("v1"), Remaining: time.Second}))
		message.Origins[0] = 1
		_, err = streamorigin.Decode(message)
		Expect(err).To(HaveOccurred())
		message.Versions = nil
		_, err = streamorigin.DecodeVersions(message)
		Expect(err).To(HaveOccurred())
	})
})
