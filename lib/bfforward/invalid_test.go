package bfforward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rawPeer returns the address of a peer whose connections are served by a function until the test ends.
func rawPeer(t *testing.T, serve func(c *net.TCPConn, in *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer c.Close()
				serve(c.(*net.TCPConn), bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		serving.Wait()
	})
	return listener.Addr().String()
}

// sendRaw sends a request with a body to a peer that answers with a text.
func sendRaw(t *testing.T, text string) error {
	t.Helper()
	address := rawPeer(t, func(c *net.TCPConn, in *bufio.Reader) {
		if r, err := http.ReadRequest(in); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	})
	client := New(DefaultOptions())
	defer client.Sweep(time.Now().Add(time.Hour), 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := client.Send(ctx, address, Request{Method: http.MethodPost, Target: "/", Body: []byte("fuel")}, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	return err
}

const soundEnd = "Content-Length: 5\r\nConnection: close\r\n\r\nhello"

// Guards against a response with a status that is none (MIXED).
func TestInvalidStatusIsLost(t *testing.T) {
	is := is.New(t)
	is.NoErr(sendRaw(t, "HTTP/1.1 200 OK\r\n"+soundEnd))
	for _, status := range []string{"000", "099", "101"} {
		var lost *LostError
		is.True(errors.As(sendRaw(t, "HTTP/1.1 "+status+" Odd\r\n"+soundEnd), &lost))
	}
}

// Guards against a response in whose head the name of a field is none (MIXED).
func TestInvalidFieldNameIsLost(t *testing.T) {
	is := is.New(t)
	for _, line := range []string{"X Odd: 1", "Content-Length : 2", "Transfer-Encoding : chunked", "X-\x01: 1"} {
		var lost *LostError
		is.True(errors.As(sendRaw(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+soundEnd), &lost))
	}
}

// Guards against a part of a response without a length that passes as complete (MIXED): the connection was
// reset while the request was still being written.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	is := is.New(t)
	address := rawPeer(t, func(c *net.TCPConn, in *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, in, 20<<10)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	for range 20 {
		client := New(DefaultOptions())
		response, err := client.Send(context.Background(), address, Request{Method: http.MethodPost, Target: "/", Body: make([]byte, 6<<20)}, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		is.True(err != nil)
		client.Sweep(time.Now().Add(time.Hour), 0)
	}
}
