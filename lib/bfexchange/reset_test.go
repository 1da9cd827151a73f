package bfexchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// uploadBytes exceeds the buffers of a connection, so that the upload is in progress when the answer ends.
const uploadBytes = 6 << 20

// sendUpload sends a long body of which the peer reads little, and reads the answer.
func sendUpload(t *testing.T, address string, length int64, rest io.Reader) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := client().Send(ctx, address, &Request{
		Method: http.MethodPost, Target: "/", Host: "h.example", ID: "1", Header: http.Header{idHeader: {"1"}},
		Head: make([]byte, 1<<10), Rest: NewRemainder(rest), Length: length,
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// Guards against a part of an answer without a length that passes as complete (MIXED): when the connection
// is reset during an upload, the write of the upload gets the error, and the read of the answer the end.
func TestResetAnswerWithoutLengthIsIncomplete(t *testing.T) {
	for _, connection := range []string{"", "Connection: close\r\n"} {
		for _, length := range []int64{uploadBytes, Chunked} {
			t.Run(fmt.Sprintf("%.10s length %d", connection, length), func(t *testing.T) {
				is := is.New(t)
				for range 10 {
					p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
						_, _ = io.CopyN(io.Discard, in, 20<<10)
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n"+connection+"\r\n"+strings.Repeat("x", 30<<10))
						time.Sleep(20 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					})
					_, err := sendUpload(t, p.address(), length, strings.NewReader(strings.Repeat("y", uploadBytes-1<<10)))
					is.True(err != nil)
				}
			})
		}
	}
}

// Guards against an answer without a length that is refused although its server has read the whole upload.
func TestAnswerWithoutLengthBeforeTheUploadEnds(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	body, err := sendUpload(t, p.address(), uploadBytes, strings.NewReader(strings.Repeat("y", uploadBytes-1<<10)))
	is.NoErr(err)
	is.Equal(body, "whole")
}

// Guards against an answer without a length whose reader waits without end, as the sender of the upload has
// stopped.
func TestAnswerWithoutLengthBesideAStalledUpload(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, in)
	})
	stalled, sender := io.Pipe()
	defer sender.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	a, err := client().Send(ctx, p.address(), &Request{
		Method: http.MethodPost, Target: "/", Host: "h.example", ID: "1", Header: http.Header{idHeader: {"1"}}, Rest: NewRemainder(stalled), Length: 10,
	})
	is.NoErr(err)
	defer a.Close()
	_, err = io.ReadAll(a)
	is.True(err != nil)
}
