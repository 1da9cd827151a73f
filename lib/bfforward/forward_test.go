package bfforward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"bilberryflow.org/lib/bfheader"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// forEachProtocol runs a test against a server over both protocols.
func forEachProtocol(t *testing.T, handler http.HandlerFunc, test func(is *is.I, client *Client, address string)) {
	for _, protocol := range []Protocol{HTTP1, HTTP2} {
		t.Run(string(protocol), func(t *testing.T) {
			server := httptest.NewUnstartedServer(handler)
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetHTTP1(true)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			defer server.Close()
			options := DefaultOptions()
			options.Protocol = protocol
			client := New(options)
			defer client.Sweep(time.Now().Add(time.Hour), 0)
			test(is.New(t), client, server.Listener.Addr().String())
		})
	}
}

func get(is *is.I, client *Client, address string) {
	response, err := client.Send(context.Background(), address, Request{Method: http.MethodGet, Target: "/"}, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	response.Body.Close()
}

// Guards against net/http retrying a request with an idempotency key after a reused
// connection breaks: the request must arrive once and be reported as lost.
func TestSendNeverRetries(t *testing.T) {
	var arrived atomic.Int32
	handler := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.Method == http.MethodPost {
			arrived.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	forEachProtocol(t, handler, func(is *is.I, client *Client, address string) {
		for _, body := range [][]byte{nil, []byte("fuel")} {
			arrived.Store(0)
			get(is, client, address) // leaves a connection that the next request reuses
			header := http.Header{bfheader.IdempotencyKey: {"n-1"}}
			sent := 0
			_, err := client.Send(context.Background(), address, //nolint:bodyclose // no response is returned
				Request{Method: http.MethodPost, Target: "/", Header: header, Body: body}, func() { sent++ })
			var lost *LostError
			is.True(errors.As(err, &lost))
			is.Equal(arrived.Load(), int32(1))
			is.Equal(sent, 1)
		}
	})
}

// Guards against reporting a refused connection as a lost request: no byte was sent.
func TestSendReportsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener.Close()
	sent := 0
	_, err = New(DefaultOptions()).Send(context.Background(), listener.Addr().String(), //nolint:bodyclose // no response is returned
		Request{Method: http.MethodPost, Target: "/"}, func() { sent++ })
	var notSent *NotSentError
	is.True(errors.As(err, &notSent))
	is.Equal(sent, 0)
}

// Guards against writing a request after it was reported as not sent, when its
// deadline ends just as it gets a pooled connection.
func TestNothingIsWrittenAfterNotSent(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer remote.Close()
	c := &conn{Conn: local}
	defer c.Close()
	is.NoErr(remote.SetDeadline(time.Now().Add(5 * time.Second)))
	is.NoErr(local.SetDeadline(time.Now().Add(5 * time.Second)))
	permit := &writePermit{}
	c.permit.Store(permit)
	is.True(permit.revoke())
	_, err := c.Write([]byte("POST"))
	is.True(errors.Is(err, errAlreadySent))
	c.permit.Store(&writePermit{})
	go func() { _, _ = c.Write([]byte("GET")) }()
	got, err := bufio.NewReader(remote).Peek(1)
	is.NoErr(err)
	is.Equal(string(got), "G")
}

// Guards against changing the request line or the User-Agent: the next node compares
// retries with the original byte by byte.
func TestSendPreservesRequest(t *testing.T) {
	var got http.Request
	handler := func(_ http.ResponseWriter, r *http.Request) { got = *r }
	forEachProtocol(t, handler, func(is *is.I, client *Client, address string) {
		response, err := client.Send(context.Background(), address, Request{Method: http.MethodPost, Target: "/a%20b?x=%zz&y=1#z"}, nil)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(got.RequestURI, "/a%20b?x=%zz&y=1#z")
		is.Equal(got.ContentLength, int64(0))
		is.Equal(len(got.TransferEncoding), 0)
		is.Equal(got.Header.Get("User-Agent"), "")
	})
}

func TestWarmOpensConnection(t *testing.T) {
	forEachProtocol(t, func(http.ResponseWriter, *http.Request) {}, func(is *is.I, client *Client, address string) {
		is.NoErr(client.Warm(context.Background(), address))
		var reused bool
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
		})
		response, err := client.Send(ctx, address, Request{Method: http.MethodGet, Target: "/"}, nil)
		is.NoErr(err)
		response.Body.Close()
		is.True(reused)
	})
}

// Guards against taking a late answer to a request for the answer to the next one on its connection.
func TestLateAnswerIsNotThatOfTheNextRequest(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		late := ""
		for ; err == nil; r, err = http.ReadRequest(buffered.Reader) {
			own := "HTTP/1.1 200 OK\r\n" + bfheader.RequestID + ": " + r.Header.Get(bfheader.RequestID) + "\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, late+own)
			late = own
		}
	}))
	defer server.Close()
	client := New(DefaultOptions())
	defer client.Sweep(time.Now().Add(time.Hour), 0)
	send := func(id string) error {
		response, err := client.Send(context.Background(), server.Listener.Addr().String(), Request{
			Method: http.MethodGet, Target: "/", Header: http.Header{bfheader.RequestID: {id}},
		}, nil)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	is.NoErr(send("1"))
	err := send("2")
	var lost *LostError
	var late *LateAnswerError
	is.True(errors.As(err, &lost) && errors.As(err, &late))
	is.Equal(late.ID, "1")
}

// Guards against a client that takes all descriptors of its process, and against one that keeps idle connections
// while others are wanted.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	options := DefaultOptions()
	options.MaxOpen = 2
	client := New(options)
	defer client.Sweep(time.Now().Add(time.Hour), 0)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			arrived <- struct{}{}
			<-release
		}
	})
	addresses := make([]string, 3)
	for i := range addresses {
		server := httptest.NewServer(handler)
		defer server.Close()
		addresses[i] = server.Listener.Addr().String()
	}
	for _, address := range addresses {
		get(is, client, address)
		is.True(client.open.Load() <= 2)
	}
	var sent sync.WaitGroup
	for _, address := range addresses[:2] {
		sent.Go(func() {
			response, err := client.Send(context.Background(), address, Request{Method: http.MethodPost, Target: "/"}, nil)
			is.NoErr(err)
			response.Body.Close()
		})
	}
	<-arrived
	<-arrived
	_, err := client.Send(context.Background(), addresses[2], Request{Method: http.MethodGet, Target: "/"}, nil) //nolint:bodyclose // no response is returned
	var notSent *NotSentError
	var limit *ConnectionsError
	is.True(errors.As(err, &notSent) && errors.As(err, &limit))
	close(release)
	sent.Wait()
}
