package bfserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfheader"
)

// listen serves handler; header overrides ReadHeaderTimeout if above 0.
func listen(t *testing.T, headerTimeout time.Duration, handler http.HandlerFunc) *Port {
	is := is.New(t)
	port, err := Listen("caller", "127.0.0.1:0", handler, Options{})
	is.NoErr(err)
	return start(t, port, headerTimeout)
}

// start serves a port until the test ends.
func start(t *testing.T, port *Port, headerTimeout time.Duration) *Port {
	is := is.New(t)
	is.Equal(port.ReadHeaderTimeout, readHeaderTimeout)
	is.Equal(port.IdleTimeout, idleTimeout)
	if headerTimeout > 0 {
		port.ReadHeaderTimeout = headerTimeout
	}
	ended := make(chan error, 1)
	go func() { ended <- port.Start(context.Background()) }()
	t.Cleanup(func() {
		is.NoErr(port.Stop(context.Background()))
		if err := <-ended; err != nil {
			is.True(Closed(err))
		}
	})
	return port
}

// firstLineOfResponse sends raw bytes to the port and returns the first line of its response,
// empty if the port closes the connection.
func firstLineOfResponse(t *testing.T, port *Port, raw string) string {
	is := is.New(t)
	conn, err := net.Dial("tcp", port.Address())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, raw)
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(4 * time.Second)))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		t.Fatalf("connection not closed: %v", err)
	}
	return line
}

// Guards against a request that callers may send, whatever limit is configured, and that fails between nodes
// for the length of its head.
func TestHeadsOfCallersGetThroughBetweenNodes(t *testing.T) {
	is := is.New(t)
	port, err := ListenPacked("inbound", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), Options{}, nil)
	is.NoErr(err)
	start(t, port, 0)
	for _, size := range []int{60_000, bfheader.MaxHead} {
		head := "GET / HTTP/1.1\r\nHost: a\r\nBilberry-Policy: " + strings.Repeat("p", bfheader.MaxInternal/2) + "\r\nX: " + strings.Repeat("y", size-40) + "\r\n\r\n"
		is.Equal(firstLineOfResponse(t, port, head), "HTTP/1.1 204 No Content\r\n")
	}
}

// Guards against clients that exhaust file descriptors by never completing their headers.
func TestSlowHeaderClosesTheConnection(t *testing.T) {
	port := listen(t, 50*time.Millisecond, func(http.ResponseWriter, *http.Request) { t.Error("served") })
	is.New(t).Equal(firstLineOfResponse(t, port, "GET / HTTP/1.1\r\nHost: a\r\nX: "), "")
}

// Guards against clients that exhaust memory with an oversized header.
func TestOversizeHeaderIsRefused(t *testing.T) {
	port := listen(t, 0, func(http.ResponseWriter, *http.Request) { t.Error("served") })
	line := firstLineOfResponse(t, port, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 2*maxHeader)+"\r\n\r\n")
	is.New(t).True(strings.Contains(line, "431"))
}

// Guards against a router that redirects unclean paths or serves some itself: a redirect would
// turn a POST into a GET.
func TestHandlerGetsEveryRequest(t *testing.T) {
	is := is.New(t)
	port := listen(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Method+" "+r.URL.EscapedPath())
	})
	for _, path := range []string{"//a/../b", "/debug/vars", "/a%2Fb", "/"} {
		request, err := http.NewRequest(http.MethodPost, "http://"+port.Address(), nil)
		is.NoErr(err)
		request.URL.Opaque = path
		response, err := http.DefaultTransport.RoundTrip(request)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(strings.HasPrefix(string(body), "POST "))
	}
}

// Guards against a listen error that doesn't name the port.
func TestListenErrorNamesThePort(t *testing.T) {
	is := is.New(t)
	port := listen(t, 0, func(http.ResponseWriter, *http.Request) {})
	_, err := Listen("operator", port.Address(), nil, Options{})
	var taken *ListenError
	is.True(errors.As(err, &taken))
	is.Equal(taken.Port, "operator")
	_, err = LoadTLS("nowhere", "")
	is.True(err != nil)
}
