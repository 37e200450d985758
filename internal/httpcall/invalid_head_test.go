package httpcall_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/httpcall"
	"knapweedhoist/internal/rawserver"
)

// forEachCall runs test with each way of making a call to a raw server.
func forEachCall(t *testing.T, test func(server *rawserver.Server, call func(httpcall.Request) error)) {
	for name, call := range map[string]func(*httpcall.Client, httpcall.Request) (httpcall.Response, error){
		"Do": func(c *httpcall.Client, r httpcall.Request) (httpcall.Response, error) {
			return c.Do(context.Background(), r)
		},
		"Fetch": func(c *httpcall.Client, r httpcall.Request) (httpcall.Response, error) {
			return c.Fetch(context.Background(), r, time.Minute)
		},
		"Open": func(c *httpcall.Client, r httpcall.Request) (httpcall.Response, error) {
			stream, err := c.Open(context.Background(), r)
			if err != nil {
				return httpcall.Response{}, err
			}
			defer stream.Close()
			return stream.ReadAll(1 << 20)
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			server, err := rawserver.New()
			Expect(err).NotTo(HaveOccurred())
			defer server.Close()
			client := httpcall.New(httpcall.Config{Address: server.Address(), Timeout: time.Minute})
			defer client.Close()
			test(server, func(request httpcall.Request) error {
				response, err := call(client, request)
				if err == nil {
					Expect(string(response.Body)).To(Equal("body"))
				}
				return err
			})
		})
	}
}

// Guards against a broken response that counts as a sound one, and a sound one with a rare field that counts as broken.
func TestHeadsOfResponses(t *testing.T) {
	forEachCall(t, func(server *rawserver.Server, call func(httpcall.Request) error) {
		Expect(server.CheckHeads("200 OK", "body", func() error {
			return call(httpcall.Request{Method: "GET", Path: "/"})
		})).To(Succeed())
	})
}

// Guards against a part of a body that counts as a complete response, because the write of the request got the error of a reset.
func TestResetDuringUpload(t *testing.T) {
	forEachCall(t, func(server *rawserver.Server, call func(httpcall.Request) error) {
		Expect(server.CheckEarlyReset("200 OK", "body", func() error {
			return call(httpcall.Request{Method: "PUT", Path: "/", Body: make([]byte, rawserver.UploadBytes)})
		})).To(Succeed())
	})
}
