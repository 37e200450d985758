package objectrelay

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"knapweedhoist/internal/rawserver"
	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

var _ = Describe("The answer of a relay", func() {
	var server *rawserver.Server
	var client *Client
	BeforeEach(func() {
		var err error
		server, err = rawserver.New()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client = NewClient(time.Minute)
	})
	object := objectapi.Object{Name: "i-1", Version: 5, Value: []byte("{}")}
	// encode returns the message that a relay sends.
	encode := func(reply objectapi.Reply) []byte {
		objects, err := encodeObjects(reply.Objects)
		Expect(err).NotTo(HaveOccurred())
		changes, err := encodeChanges(reply.Events)
		Expect(err).NotTo(HaveOccurred())
		body, length, err := encodedReply{parts: [][]byte{objects, changes}, position: reply.Position(), age: reply.Age}.body()
		Expect(err).NotTo(HaveOccurred())
		message, err := io.ReadAll(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(message).To(HaveLen(length))
		return message
	}

	// Guards against an answer that was cut and counts as a list without the objects behind the cut: a prefix of the message can
	// be a message too.
	DescribeTable("is an error if it ends early",
		func(request objectapi.Request, reply objectapi.Reply) {
			body := encode(reply)
			server.ForEachCut("200 OK", string(body), func(cut rawserver.Cut) {
				got, err := client.Read(context.Background(), server.Address(), request)
				if !cut.Whole {
					Expect(err).To(HaveOccurred(), cut.Text)
					return
				}
				Expect(err).NotTo(HaveOccurred(), cut.Text)
				Expect(got.Version).To(Equal(reply.Version))
				Expect(got.Age).To(Equal(reply.Age))
				Expect(len(got.Objects) + len(got.Events)).To(Equal(1))
			})
		},
		Entry("to a list", objectapi.Request{Op: objectapi.OpList}, objectapi.Reply{Version: 7, Age: time.Second, Objects: []objectapi.Object{object}}),
		Entry("to a watch", objectapi.Request{Op: objectapi.OpWatch, From: objectapi.Position{Version: 6}},
			objectapi.Reply{Version: 7, Age: time.Second, Events: []objectapi.WatchEvent{{Object: object, Deleted: true}}}),
	)

	// Guards against a broken answer that counts as a list.
	It("is an error if its head is invalid", func() {
		body := encode(objectapi.Reply{Version: 7, Age: time.Second, Objects: []objectapi.Object{object}})
		Expect(server.CheckHeads("200 OK", string(body), func() error {
			_, err := client.Read(context.Background(), server.Address(), objectapi.Request{Op: objectapi.OpList})
			return err
		})).To(Succeed())
	})

	// Guards against a foreign server at the address of a relay that is gone, whose empty answer takes all objects away.
	It("is an error if it is empty", func() {
		server.Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)
		_, err := client.Read(context.Background(), server.Address(), objectapi.Request{Op: objectapi.OpList})
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
	})

	// Guards against an answer of a foreign server whose age makes the copy count as newer than now: a negative one, or one that
	// overflows a time.Duration.
	It("is an error without a valid age", func() {
		for _, ageMs := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1_000_000 * 2} {
			body, err := proto.Marshal(&wire.RelayedObjects{Version: 7, AgeMs: ageMs})
			Expect(err).NotTo(HaveOccurred())
			server.Answer(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), false)
			_, err = client.Read(context.Background(), server.Address(), objectapi.Request{Op: objectapi.OpList})
			Expect(err).To(MatchError(objectapi.ErrUnavailable), fmt.Sprint(ageMs))
		}
	})
})
