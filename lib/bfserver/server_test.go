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
)

// listen serves handler; header is how long a peer may take for its header.
func listen(t *testing.T, header time.Duration, handler http.HandlerFunc) *Port {
	is := is.New(t)
	port, err := Listen("caller", "127.0.0.1:0", handler, nil)
	is.NoErr(err)
	is.Equal(port.ReadHeaderTimeout, readHeaderTimeout)
	is.Equal(port.IdleTimeout, idleTimeout)
	if header > 0 {
		port.ReadHeaderTimeout = header
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

// answerTo is what the port answers to raw bytes until it closes the connection.
func answerTo(t *testing.T, port *Port, raw string) string {
	is := is.New(t)
	conn, err := net.Dial("tcp", port.Address())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, raw)
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(4 * time.Second)))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		t.Fatalf("connection held: %v", err)
	}
	return line
}

// A peer sends half of a header and nothing more, for as long as it is let. The
// port closes the connection; held, a few thousand such peers leave a node no
// file for its callers.
func TestSlowHeaderIsCutOff(t *testing.T) {
	port := listen(t, 50*time.Millisecond, func(http.ResponseWriter, *http.Request) { t.Error("served") })
	is.New(t).Equal(answerTo(t, port, "GET / HTTP/1.1\r\nHost: a\r\nX: "), "")
}

// A peer sends a header without end. It is refused by 431 and never reaches a handler.
func TestOversizeHeaderIsRefused(t *testing.T) {
	port := listen(t, 0, func(http.ResponseWriter, *http.Request) { t.Error("served") })
	line := answerTo(t, port, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 2*maxHeader)+"\r\n\r\n")
	is.New(t).True(strings.Contains(line, "431"))
}

// Paths that a router would tidy or take for its own reach the handler as they
// were sent: a redirect would turn a caller's POST into another request.
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

// Two processes are given one port. The second says which of its ports is taken.
func TestTakenPortIsNamed(t *testing.T) {
	is := is.New(t)
	port := listen(t, 0, func(http.ResponseWriter, *http.Request) {})
	_, err := Listen("operator", port.Address(), nil, nil)
	var taken *ListenError
	is.True(errors.As(err, &taken))
	is.Equal(taken.Port, "operator")
	_, err = LoadTLS("nowhere", "")
	is.True(err != nil)
}
