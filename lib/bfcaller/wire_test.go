package bfcaller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfheader"
)

// Guards against a truncated download that looks complete to the client: the
// connection must be aborted, whether the response has a length or not.
func TestInterruptedDownload(t *testing.T) {
	const size = 3 << 20
	for _, protocol := range []bfforward.Protocol{bfforward.HTTP1, bfforward.HTTP2} {
		for _, length := range []bool{true, false} {
			for _, byTarget := range []bool{true, false} {
				t.Run(fmt.Sprint(protocol, " length ", length, " target ", byTarget), func(t *testing.T) {
					is := is.New(t)
					cluster, entry := newEntry(t, protocol, 1)
					abort := make(chan struct{})
					cluster.nodes[1].target.setHandler(func(rw http.ResponseWriter, _ *http.Request) {
						if length {
							rw.Header().Set("Content-Length", strconv.Itoa(size))
						}
						_, _ = rw.Write(make([]byte, size/2))
						<-abort
						if byTarget {
							panic(http.ErrAbortHandler)
						}
						_, _ = rw.Write(make([]byte, size/2))
					})
					response, err := cluster.http.Get("http://" + entry.callerAddress + pull)
					is.NoErr(err)
					defer response.Body.Close()
					if !byTarget {
						cluster.nodes[1].inbound.closeConns()
					}
					close(abort)
					is.Equal(response.Header.Get(bfheader.Outcome), bfheader.OutcomeDone)
					n, err := io.Copy(io.Discard, response.Body)
					is.True(err != nil)
					is.True(n < size)
				})
			}
		}
	}
}

// Guards against passing on part of a small response: an approval's outcome is
// reported as "unknown" and a look-up is retried.
func TestTruncatedSmallResponse(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 2)
	entry.earnRetries(is, 1)
	broken := cluster.nodes[1].target
	broken.setHandler(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(rw, "ran")
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	})
	for i := 0; broken.runCountPrefix("q") == 0; i++ {
		is.Equal(entry.send("GET", lookUp, fmt.Sprint("q", i)).outcome, bfheader.OutcomeDone)
	}
	for i := 0; broken.runCountPrefix("n") == 0; i++ {
		name := fmt.Sprint("n", i)
		got := entry.send("POST", approve, name)
		is.NoErr(got.err)
		is.Equal(got.outcome == bfheader.OutcomeUnknown, broken.runCount(name) == 1)
		is.Equal(cluster.runCount(name), 1)
	}
}

// Guards against running requests with invalid headers, and against forged internal
// headers that reach the guard or the target.
func TestInvalidHeaders(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	for header, values := range map[string][]string{
		bfheader.Deadline: {"0", "-1", "1s", "3600001", "99999999999999999999", "1.5"},
		bfheader.Depth:    {"-1", "33", "x"},
		bfheader.Resent:   {"yes", "0"},
		bfheader.Tenant:   {strings.Repeat("t", 65), "\xff"},
		idempotencyKey:    {strings.Repeat("k", 256), "\xff", "own key", "bfk1.x", "bfk1.a.b.c.d"},
	} {
		for _, value := range values {
			got := entry.send("POST", approve, "wrong", header, value)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadRequest) // header: value
			is.Equal(got.outcome, bfheader.OutcomeNotRun)
			is.True(strings.Contains(got.body, "urn:bilberryflow:invalid-request"))
		}
		got := entry.send("POST", approve, "wrong", header, "1", header, "2")
		is.Equal(got.status, http.StatusBadRequest)
	}
	is.Equal(cluster.runCount("wrong"), 0)

	forged := []string{
		bfheader.Home, "b/1", bfheader.Route, "stems", bfheader.Policy, `{"idempotent":true}`, bfheader.RequestID, "b/1/1",
		bfheader.Outcome, "not-run", bfheader.Final, "1", bfheader.Refusal, "{}", bfheader.Load, "0/0/0/0",
		"bilberry-anything", "x", "Connection", "X-Secret", "X-Secret", "s", "Proxy-Connection", "close",
	}
	cluster.nodes[1].target.setHandler(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Connection", "close")
		rw.Header().Set(bfheader.Load, "9/9/9/9")
		rw.Header().Set("X-Answer", "a")
	})
	got := entry.send("POST", approve, "forged", forged...)
	is.Equal(got.outcome, bfheader.OutcomeDone)
	is.Equal(got.header.Get("X-Answer"), "a")
	is.Equal(got.header.Get(bfheader.Load), "")
	seen := cluster.nodes[1].target.header("forged")
	for _, name := range []string{
		bfheader.Home, bfheader.Route, bfheader.Policy, bfheader.Outcome, bfheader.Final, bfheader.Refusal, bfheader.Load,
		"Bilberry-Anything", "X-Secret", "Proxy-Connection",
	} {
		is.Equal(seen[name], nil) // name
	}
	is.True(strings.HasPrefix(seen.Get(bfheader.RequestID), "a/"))
	left, err := strconv.Atoi(seen.Get(deadline))
	is.NoErr(err)
	is.True(left > 0 && left <= 5000)
}

// Guards against malformed requests being run or left without a response.
func TestInvalidRequests(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	for _, c := range []struct {
		method, path string
		body         io.Reader
		status       int
	}{
		{"GET", "/nowhere", nil, http.StatusNotFound},
		{"GET", "/stems/%2e%2e/approvals", nil, http.StatusBadRequest},
		{"POST", approve, io.LimitReader(zeros{}, 2<<20), http.StatusRequestEntityTooLarge},
		{"POST", approve, strings.NewReader(strings.Repeat("x", 2<<20)), http.StatusRequestEntityTooLarge},
		{"POST", approve, slowBody{}, http.StatusRequestTimeout},
	} {
		got := entry.sendBody(t.Context(), c.method, c.path, "wrong", c.body)
		if got.err == nil { // the connection may be closed while the client still sends a rejected body
			is.Equal(got.status, c.status)
			is.Equal(got.outcome, bfheader.OutcomeNotRun)
		}
	}
	for request, status := range map[string]string{
		"GET /stems HTTP/1.0\r\n\r\n":                                       "HTTP/1.0 505",
		"POST /approvals HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx": "HTTP/1.1 408",
	} {
		conn, err := net.Dial("tcp", entry.callerAddress)
		is.NoErr(err)
		is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
		_, err = io.WriteString(conn, request)
		is.NoErr(err)
		line, err := bufio.NewReader(conn).ReadString('\n')
		is.NoErr(err)
		is.True(strings.HasPrefix(line, status))
		conn.Close()
	}
	// The port for nodes rejects a caller's request, since it has no request ID.
	response, err := cluster.http.Get("http://" + cluster.nodes[1].inbound.address() + approve)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.Equal(cluster.runCount("wrong")+cluster.runCount(""), 0)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// slowBody produces a byte every 20 ms, without end.
type slowBody struct{}

func (slowBody) Read(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	p[0] = 'x'
	return 1, nil
}

// Guards against changing the Content-Length of responses without a body.
func TestResponsesWithoutBody(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	cluster.nodes[1].target.setHandler(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			rw.Header().Set("Content-Length", "12345")
			return
		}
		rw.Header().Set("Etag", `"1"`)
		status, _ := strconv.Atoi(r.Header.Get(order))
		rw.WriteHeader(status)
	})
	is.Equal(entry.send("HEAD", lookUp, "").header.Get("Content-Length"), "12345")
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		got := entry.send("GET", lookUp, strconv.Itoa(status))
		is.Equal(got.status, status)
		is.Equal(got.header["Content-Length"], nil)
	}
}

// Guards against a reported load that counts the finished request itself, and
// against a deadline header that ignores the time spent in the queue.
func TestLoadAndTimeLeftAreAccurate(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	home := cluster.nodes[1]
	home.target.slots = 1
	home.announceTarget(false)
	release := cluster.blockTargets()
	first := inBackground(func() reply { return entry.send("POST", approve, "n1") })
	cluster.waitRunning("n1")
	second := inBackground(func() reply { return entry.send("POST", approve, "n2", deadline, "4000") })
	eventually(t, "n2 waits", func() bool { return home.guard.InFlight() == 2 })
	time.Sleep(100 * time.Millisecond) // a longer wait passes too
	close(release)
	<-first
	<-second
	left, err := strconv.Atoi(home.target.header("n2").Get(deadline))
	is.NoErr(err)
	is.True(left <= 3900)
	// The entry node uses the load reported with the last response.
	is.True(strings.HasPrefix(home.load.Load().(string), "0/0/1/"))
}

// Guards against callers waiting for new connections at the start of an event: the
// entry node opens connections in advance, without running a request.
func TestWarmUp(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	cluster.configure(func(_ map[string]*bfconfig.PolicySpec, event *bfconfig.EventSpec) {
		event.WarmUp = 2 * time.Hour
		event.Overrides = []bfconfig.Override{{Route: "stems", Policy: "approvals"}}
	})
	entry.entry.WarmUp(time.Now())
	eventually(t, "a connection", func() bool { return cluster.nodes[1].inbound.connCount() == 1 })
	eventually(t, "warm-up ends", func() bool { return entry.group.Running() == 1 })
	is.Equal(entry.send("GET", lookUp, "q1").outcome, bfheader.OutcomeDone)
	is.Equal(cluster.nodes[1].inbound.connCount(), 1)
}

// Guards against a success for an answer whose head the target cut off.
func TestCutHeadOfATargetIsNotPassedOn(t *testing.T) {
	for _, protocol := range []bfforward.Protocol{bfforward.HTTP1, bfforward.HTTP2} {
		for _, framing := range []string{"Content-Length: 5\r\n", "Connection: close\r\n", "Transfer-Encoding: chunked\r\n"} {
			t.Run(fmt.Sprintf("%s %.10s", protocol, framing), func(t *testing.T) {
				is := is.New(t)
				cluster, entry := newEntry(t, protocol, 1)
				head := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + framing + "\r\n"
				var cut atomic.Int32
				cluster.nodes[1].target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
					c, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						panic(err)
					}
					defer c.Close()
					_, _ = io.WriteString(c, head[:cut.Load()])
				})
				for length := range head {
					cut.Store(int32(length))
					got := entry.send("POST", approve, fmt.Sprint("order-", length))
					is.True(got.outcome != bfheader.OutcomeDone)
				}
			})
		}
	}
}
