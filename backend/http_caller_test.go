package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/request"
)

func outgoing(call *request.Call) OutgoingCall {
	return OutgoingCall{RequestID: "id-1", Attempt: 2, Call: call, MaxAnswerBytes: 100}
}

// Guards against a call or answer that HTTPCaller modifies, and against forwarding header fields of the connection.
func TestCallPassesThrough(t *testing.T) {
	RegisterTestingT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.RequestURI+" "+r.Header.Get("X-Custom")+" "+string(body))
		w.Header().Set("X-Ids", r.Header.Get("X-Request-Id")+" "+r.Header.Get("X-Attempt"))
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Add("Set-Cookie", "a=1")
		w.Header().Add("Set-Cookie", "b=2")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("tea"))
	}))
	defer server.Close()
	answer, err := NewHTTPCaller().Call(context.Background(), server.Listener.Addr().String(), outgoing(&request.Call{
		Method: "PATCH", Path: "/a%2Fb/../c", Query: "x=1&y=%20", Body: []byte("body"),
		Header: []request.Field{{Name: "X-Custom", Value: "v"}},
	}))
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Status).To(Equal(http.StatusTeapot))
	Expect(string(answer.Body)).To(Equal("tea"))
	Expect(answer.Header).To(ContainElements(
		request.Field{Name: "X-Seen", Value: "PATCH /a%2Fb/../c?x=1&y=%20 v body"},
		request.Field{Name: "X-Ids", Value: "id-1 2"},
		request.Field{Name: "Set-Cookie", Value: "a=1"}, request.Field{Name: "Set-Cookie", Value: "b=2"},
	))
	Expect(answer.Header).NotTo(ContainElement(HaveField("Name", "Keep-Alive")))
}

// Guards against an error that misstates whether the call ran, and against a retry inside the HTTP client.
func TestCallErrorsTellWhatIsProved(t *testing.T) {
	RegisterTestingT(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(closed.Close()).To(Succeed())
	get := &request.Call{Method: "GET", Path: "/"}
	_, err = NewHTTPCaller().Call(context.Background(), closed.Addr().String(), outgoing(get))
	Expect(err).To(MatchError(ErrUnsent))

	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		switch r.URL.Path {
		case "/cut":
			panic(http.ErrAbortHandler)
		case "/long":
			_, _ = w.Write(make([]byte, 101))
		case "/refuse":
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"outcome":"not_run"}`))
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	for _, repeatable := range []bool{false, true} {
		for path, want := range map[string]error{"/cut": ErrBroken, "/long": ErrAnswerTooLarge, "/refuse": ErrRefused, "/busy": nil} {
			before := calls.Load()
			call := outgoing(&request.Call{Method: "GET", Path: path})
			call.Repeatable = repeatable
			_, err := NewHTTPCaller().Call(context.Background(), server.Listener.Addr().String(), call)
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(want))
			}
			Expect(calls.Load()).To(Equal(before + 1))
		}
	}
}

// Guards against a process that ends for lack of memory because endpoints send answers without end to many calls at the same
// time, and against a call that is reported as sound then.
func TestAnswersAreBoundedTogether(t *testing.T) {
	RegisterTestingT(t)
	const calls, answerBytes = 12, 8 << 20
	content := make([]byte, answerBytes)
	var ended atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(content) // and no end
		<-r.Context().Done()
	}))
	defer server.Close()
	caller, before := NewHTTPCaller(), heapBytes()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var all sync.WaitGroup
	for range calls {
		all.Go(func() {
			defer ended.Add(1)
			call := outgoing(&request.Call{Method: "GET", Path: "/"})
			call.MaxAnswerBytes = 2 * answerBytes
			_, err := caller.Call(ctx, server.Listener.Addr().String(), call)
			Expect(err).To(HaveOccurred())
		})
	}
	// In the end, each call that has not ended holds the whole content.
	Eventually(func() bool {
		used := caller.memory.Used()
		Expect(used).To(BeNumerically("<=", maxAnswerMemory))
		return used >= (calls-ended.Load())*answerBytes
	}, 50*time.Second).Should(BeTrue())
	growth := heapBytes() - before
	t.Logf("heap growth %.1f MiB, %d bytes counted, %d calls ended", float64(growth)/(1<<20), caller.memory.Used(), ended.Load())
	Expect(caller.memory.Used()).To(BeNumerically("<=", maxAnswerMemory))
	Expect(growth).To(BeNumerically("<", 72<<20))
	server.CloseClientConnections()
	all.Wait()
	Expect(caller.memory.Used()).To(BeZero())
}

// heapBytes returns the memory of live objects.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
