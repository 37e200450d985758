package backend

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/rawserver"
	"knapweedhoist/request"
)

// callRaw calls a server that sends raw and closes the connection, and returns the error of the call.
func callRaw(server *rawserver.Server, raw string, repeatable bool) error {
	server.Answer(raw, false)
	return callServer(server, &request.Call{Method: "GET", Path: "/"}, repeatable)
}

// callServer makes a call and returns its error.
func callServer(server *rawserver.Server, content *request.Call, repeatable bool) error {
	call := outgoing(content)
	call.Repeatable = repeatable
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := NewHTTPCaller().Call(ctx, server.Address(), call)
	return err
}

func newRawServer(t *testing.T) *rawserver.Server {
	server, err := rawserver.New()
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	return server
}

// Guards against bytes that are no answer and become a success: 000 was taken for 200.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	RegisterTestingT(t)
	server := newRawServer(t)
	for _, status := range []string{"000", "001", "099"} {
		for _, repeatable := range []bool{false, true} {
			err := callRaw(server, "HTTP/1.1 "+status+" OK\r\nContent-Length: 4\r\n\r\nbody", repeatable)
			Expect(err).To(MatchError(ErrBroken), status)
		}
	}
}

// Guards against the framing of an HTTP/1.0 answer that is taken for its body.
func TestTransferEncodingInHTTP10IsNoAnswer(t *testing.T) {
	RegisterTestingT(t)
	server := newRawServer(t)
	for _, fields := range []string{"Transfer-Encoding: chunked", "Content-Length: 4\r\nTransfer-Encoding: chunked"} {
		for _, repeatable := range []bool{false, true} {
			err := callRaw(server, "HTTP/1.0 200 OK\r\n"+fields+"\r\n\r\n4\r\nbody\r\n0\r\n\r\n", repeatable)
			Expect(err).To(MatchError(ErrBroken), fields)
		}
	}
}

// Guards against a caller whose connection counts as switched to another protocol, which nobody asked for.
func TestSwitchingProtocolsIsNoAnswer(t *testing.T) {
	RegisterTestingT(t)
	server := newRawServer(t)
	for _, repeatable := range []bool{false, true} {
		Expect(callRaw(server, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbytes", repeatable)).
			To(MatchError(ErrBroken))
	}
}

// Guards against a broken answer of a plain service that reaches the caller, and a sound one with a rare field that does not.
func TestHeadsOfAnswers(t *testing.T) {
	RegisterTestingT(t)
	server := newRawServer(t)
	for _, repeatable := range []bool{false, true} {
		Expect(server.CheckHeads("200 OK", "body", func() error { return callUploading(server, repeatable, nil) })).To(Succeed())
	}
}

// Guards against a part of an answer that reaches the caller as a complete one, because the write of the call got the error of a reset.
func TestResetDuringUpload(t *testing.T) {
	RegisterTestingT(t)
	server := newRawServer(t)
	for _, repeatable := range []bool{false, true} {
		Expect(server.CheckEarlyReset("200 OK", "half", func() error {
			return callUploading(server, repeatable, make([]byte, rawserver.UploadBytes))
		})).To(Succeed())
	}
}

// callUploading makes a call with this body and returns its error, which must be ErrBroken.
func callUploading(server *rawserver.Server, repeatable bool, body []byte) error {
	err := callServer(server, &request.Call{Method: "POST", Path: "/", Body: body}, repeatable)
	if err != nil {
		Expect(err).To(MatchError(ErrBroken))
	}
	return err
}
