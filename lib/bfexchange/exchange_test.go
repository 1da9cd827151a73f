package bfexchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgroup"
)

const idHeader = "X-Test-Id"

// peer is a scripted other end: serve is called for each connection, with its number from 1.
type peer struct {
	listener net.Listener
	opened   atomic.Int32
}

func newPeer(t *testing.T, serve func(number int, c net.Conn, in *bufio.Reader)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: listener}
	group := bfgroup.New(context.Background())
	group.Go("accept", func(context.Context) error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			number := int(p.opened.Add(1))
			group.Go("serve", func(context.Context) error {
				defer c.Close()
				serve(number, c, bufio.NewReader(c))
				return nil
			})
		}
	})
	t.Cleanup(func() { listener.Close() })
	return p
}

func (p *peer) address() string { return p.listener.Addr().String() }

// readOne reads one request and gives its ID, "" at the end of the connection.
func readOne(in *bufio.Reader) string {
	r, err := http.ReadRequest(in)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get(idHeader)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func client() *Client {
	return New(Options{IDHeader: idHeader, DialTimeout: time.Second, IdleUnstated: time.Second})
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a?b=c", Host: "h.example", ID: id, Header: http.Header{idHeader: {id}}}
}

func exchange(t *testing.T, c *Client, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := c.Send(ctx, address, request(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// A target answers request 1 twice. The second copy arrives where the answer to
// request 2 is due, on the same connection. The caller of 2 must get its own.
func TestAnswerOfAnotherRequestIsReadPast(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{})
	p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		id := readOne(in)
		_, _ = io.WriteString(c, answer(id, "first"))
		second := readOne(in)
		close(held)
		_, _ = io.WriteString(c, answer(id, "late copy")+answer(second, "own"))
		_ = readOne(in)
	})
	c := client()
	body, err := exchange(t, c, p.address(), "1")
	is.NoErr(err)
	is.Equal(body, "first")
	body, err = exchange(t, c, p.address(), "2")
	is.NoErr(err)
	is.Equal(body, "own")
	<-held
	is.Equal(p.opened.Load(), int32(1)) // both went over one connection
	// A connection that brought a foreign answer is not used again.
	is.Equal(len(c.idle[p.address()]), 0)
}

// A target sends bytes after a whole answer. The connection must not be used
// again: they would be read as the start of the next answer.
func TestConnectionWithBytesLeftIsNotKept(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for id := readOne(in); id != ""; id = readOne(in) {
			_, _ = io.WriteString(c, answer(id, "whole")+"more bytes")
		}
	})
	c := client()
	for i := range 3 {
		body, err := exchange(t, c, p.address(), fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(body, "whole")
	}
	is.Equal(p.opened.Load(), int32(3))
}

// The extra bytes come only after the connection was put away.
func TestConnectionThatSpeaksWhileUnusedIsNotUsed(t *testing.T) {
	is := is.New(t)
	spoke := make(chan struct{}, 1)
	p := newPeer(t, func(number int, c net.Conn, in *bufio.Reader) {
		id := readOne(in)
		_, _ = io.WriteString(c, answer(id, "whole"))
		if number == 1 {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, answer(id, "again"))
			spoke <- struct{}{}
		}
		_ = readOne(in)
	})
	c := client()
	_, err := exchange(t, c, p.address(), "1")
	is.NoErr(err)
	<-spoke
	time.Sleep(20 * time.Millisecond)
	body, err := exchange(t, c, p.address(), "2")
	is.NoErr(err)
	is.Equal(body, "whole")
	is.Equal(p.opened.Load(), int32(2))
}

// A target closes an unused connection. The next request must go out on a new
// one: written to the closed one its outcome would be unknown.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		_, _ = io.WriteString(c, answer(readOne(in), "whole"))
	})
	c := client()
	for i := range 3 {
		_, err := exchange(t, c, p.address(), fmt.Sprint(i))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
}

// An answer without a length ends with its connection. If that is reset, or a
// length is not reached, the reader must see an error and not an end.
func TestCutAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	cuts := map[string]func(c net.Conn, id string){
		"length not reached": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf", idHeader, id)
		},
		"no last chunk": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", idHeader, id)
		},
		"reset without length": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nhalf", idHeader, id)
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) { cut(c, readOne(in)) })
			_, err := exchange(t, client(), p.address(), "1")
			is.True(err != nil)
		})
	}
	_ = is
}

// A target rejects a long body before it has read it, keeps the connection and
// reads on. The next request's bytes would become the rest of that body.
func TestConnectionWithUnsentBodyIsNotKept(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(r.Header.Get(idHeader), "no"))
		<-release
	})
	defer close(release)
	c := client()
	long := request("1")
	long.Method, long.Length = http.MethodPost, 1<<30
	reader, writer := io.Pipe()
	defer writer.Close()
	long.Rest = reader
	a, err := c.Send(context.Background(), p.address(), long)
	is.NoErr(err)
	body, err := io.ReadAll(a)
	is.NoErr(err)
	is.Equal(string(body), "no")
	a.Close()
	is.Equal(len(c.idle[p.address()]), 0)
}

func TestNotSentAndLostAreToldApart(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed.Close()
	_, err = exchange(t, client(), closed.Addr().String(), "1")
	var notSent *NotSentError
	is.True(errors.As(err, &notSent)) // nobody listens

	p := newPeer(t, func(_ int, _ net.Conn, in *bufio.Reader) { _ = readOne(in) })
	_, err = exchange(t, client(), p.address(), "1")
	var lost *LostError
	is.True(errors.As(err, &lost)) // read and not answered
}

// A caller leaves while its request runs. The connection to the target must end
// at once, since that is how the target learns of it.
func TestCancelEndsTheConnection(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	p := newPeer(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		_ = readOne(in)
		_ = readOne(in)
		ended <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := client().Send(ctx, p.address(), request("1"))
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection stayed open")
	}
}

func TestRequestGoesOutAsItCame(t *testing.T) {
	is := is.New(t)
	var got strings.Builder
	r := request("7")
	r.Method, r.Head, r.Length = http.MethodPost, []byte("body"), 4
	r.Target = "/a%2Fb/../c//d?q=%zz&e"
	is.NoErr(r.write(&got))
	is.Equal(got.String(), "POST /a%2Fb/../c//d?q=%zz&e HTTP/1.1\r\nHost: h.example\r\nX-Test-Id: 7\r\nContent-Length: 4\r\n\r\nbody")
	got.Reset()
	r.Length, r.Rest = Chunked, strings.NewReader("rest")
	is.NoErr(r.write(&got))
	is.True(strings.HasSuffix(got.String(), "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\nrest\r\n0\r\n\r\n"))
}

func TestKeptNoLongerThanThePeerKeeps(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{
		"timeout=10": 9 * time.Second, "timeout=5, max=3": 4 * time.Second, "timeout=1": 250 * time.Millisecond,
		"": 200 * time.Millisecond, "timeout=x": 200 * time.Millisecond, "timeout=0": 0,
	} {
		is.Equal(keepFor(http.Header{"Keep-Alive": {text}}, 200*time.Millisecond), want) // text
	}
}

// A target sheds most of what it gets, with a short word each time. The connection on
// which it said so serves the next request: a new one for each would take the target's
// time when it has least of it. A long body is not worth reading.
func TestSkippedAnswerKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	skip := func(body string) int32 {
		p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
			for id := readOne(in); id != ""; id = readOne(in) {
				_, _ = io.WriteString(c, answer(id, body))
			}
		})
		c := client()
		for i := range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			a, err := c.Send(ctx, p.address(), request(fmt.Sprint(i)))
			is.NoErr(err)
			a.Skip()
			cancel()
		}
		return p.opened.Load()
	}
	is.Equal(skip("shed"), int32(1))
	is.Equal(skip(""), int32(1))
	is.Equal(skip(strings.Repeat("x", 2*skipBytes)), int32(5))
}
