package bfpacker

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfgroup"
)

// countedConn counts the bytes that pass beneath a Conn.
type countedConn struct {
	net.Conn
	written int
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return c.Conn.Write(p)
}

// serve answers requests on a listener, as its peers write them, until the test ends.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: handler}
	group := bfgroup.New(context.Background())
	group.Go("serve", func(context.Context) error { return server.Serve(acceptor{listener}) })
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

type acceptor struct{ net.Listener }

func (a acceptor) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Accept(c), nil
}

func request(id int, body string) string {
	return fmt.Sprintf("POST /lofi90/%06x HTTP/1.1\r\nHost: deno6.example\r\nAccept: */*\r\nAccept-Encoding: identity\r\n"+
		"X-Request: %016x\r\nX-Deadline: 1499\r\nX-Caller: loti87d\r\nX-Policy: voba99a 2 - repeatable - - 0 0 r-68wdmyd\r\n"+
		"User-Agent: sdk-client/1.9.3\r\nContent-Length: %d\r\n\r\n%s", id*7919, id*104729, len(body), body)
}

// Requests and answers of one connection, bodies beside them, come out as they went in,
// and their heads take a third of their bytes from the second on. A peer that does not
// pack is served by the same port.
func TestHeadsArePacked(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		_, _ = w.Write(body)
	})
	for _, packs := range []bool{true, false} {
		t.Run(fmt.Sprint("packs ", packs), func(t *testing.T) {
			is := is.New(t)
			raw, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer raw.Close()
			counted := &countedConn{Conn: raw}
			var c net.Conn = counted
			if packs {
				c = Pack(counted)
			}
			reader := bufio.NewReader(c)
			heads := 0
			for id := range 50 {
				body := strings.Repeat("\r\n\r\nx", id*100)
				text := request(id, body)
				before := counted.written
				_, err := io.WriteString(c, text)
				is.NoErr(err)
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				got, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(string(got), body)
				is.Equal(response.Header.Get("X-Request"), fmt.Sprintf("%016x", id*104729))
				if id > 0 {
					heads += counted.written - before - len(body)
				}
			}
			perHead := heads / 49
			t.Logf("%d bytes a head of %d", perHead, len(request(1, "")))
			is.Equal(perHead < len(request(1, ""))/3, packs)
		})
	}
}

// A connection breaks off within a frame. Its end must not look like the end of a
// message, or a cut answer without a length would pass for a whole one.
func TestCutFrameIsNoEnd(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	out := packer{}
	head := request(1, "")
	_, err := out.write(bufferConn{to: &wire}, []byte(head+"body"))
	is.NoErr(err)
	whole, between := wire.Bytes(), 0
	for length := 1; length < len(whole); length++ {
		got, err := io.ReadAll(readerOf{newUnpacker(bytes.NewReader(whole[:length]))})
		if string(got) == head && err == nil {
			between++
			continue
		}
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	}
	is.Equal(between, 1)
}

// A connection breaks while a request is written. If any byte left, the peer may have read
// it all and run it; the writer must not be told that nothing was sent.
func TestBytesThatLeftAreTold(t *testing.T) {
	is := is.New(t)
	for takes := range 40 {
		out := packer{}
		n, err := out.write(bufferConn{to: &brokenWriter{takes: takes}}, []byte(request(1, "body")))
		is.True(err != nil)
		is.Equal(n > 0, takes > 0)
	}
}

// brokenWriter takes some bytes and fails then.
type brokenWriter struct{ takes int }

func (w *brokenWriter) Write(p []byte) (int, error) {
	n := min(len(p), w.takes)
	w.takes -= n
	if n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}

// Whatever is written, in whatever pieces, is read as it was written.
func TestWhatIsWrittenIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.OneOf(
			rapid.SliceOfN(rapid.Byte(), 0, 300),
			rapid.Custom(func(t *rapid.T) []byte {
				return []byte(request(rapid.IntRange(0, 9).Draw(t, "id"), rapid.StringN(0, 50, 200).Draw(t, "body")))
			}),
		), 0, 20).Draw(t, "pieces")
		var wire, want bytes.Buffer
		out := packer{}
		for _, piece := range pieces {
			if len(piece) == 0 {
				continue
			}
			if _, err := out.write(bufferConn{to: &wire}, piece); err != nil {
				t.Fatal(err)
			}
			want.Write(piece)
		}
		got, err := io.ReadAll(readerOf{newUnpacker(&wire)})
		if err != nil || !bytes.Equal(got, want.Bytes()) {
			t.Fatalf("read %q, %v", got, err)
		}
	})
}

// Bytes that no peer writes end the connection with an error and take little memory.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte{kindHead, 3, 1, 2, 3})
	f.Add([]byte{kindPlain, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{7, 1, 1})
	f.Fuzz(func(t *testing.T, wire []byte) {
		got, err := io.ReadAll(io.LimitReader(readerOf{newUnpacker(bytes.NewReader(wire))}, 1<<20))
		if err == nil && len(got) > 0 && len(wire) == 0 {
			t.Fatal("bytes from nothing")
		}
	})
}

type readerOf struct{ *unpacker }

// Read reads unpacked bytes.
func (r readerOf) Read(p []byte) (int, error) { return r.read(p) }

// bufferConn is a connection that only takes bytes.
type bufferConn struct {
	net.Conn
	to io.Writer
}

func (c bufferConn) Write(p []byte) (int, error) { return c.to.Write(p) }
